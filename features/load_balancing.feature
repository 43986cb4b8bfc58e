Feature: Requests are placed where an answer is expected soonest

  Scenario: Fast replicas get more of the work
    Answers replicas of one shard that differ in speed.
    Given replicas that answer in 10, 20 and 40 ms
    When 600 requests are placed, 4 at a time
    Then the fastest replica gets the most and the slowest the fewest

  Scenario: A paused replica is left out
    Answers replicas that pause for a quarter of a second.
    Given replicas that answer in 10, 10 and 10 ms
    When an exchange with the first has been out for 200 ms
    Then the next 50 requests avoid the first

  Scenario: A slow replica is not tried again every second
    Answers replicas that are slow for 8 s; each try costs a second attempt. On a calm
    day a quarter of the queries found the budget of such shards used up.
    Given replicas that answer in 10, 10 and 10 ms
    And only the first is in this data centre
    When the first answers 12 times as slowly as the others, 3 times
    Then it gets less than 1 of 20 requests for 5 seconds

  Scenario: A replica that accepts no connection is tried again after a while
    Answers replicas that crash and come back.
    Given replicas that answer in 10, 10 and 10 ms
    When the first accepts no connection
    Then the next 50 requests avoid the first
    And after 3 seconds it gets requests again

  Scenario: A replica without a free connection is the last choice
    Answers replicas whose connections are all in use.
    Given replicas that answer in 10, 10 and 10 ms
    When all connections of the first are in use
    Then the next 50 requests avoid the first

  Scenario Outline: All instances together keep to the budget of second attempts
    Guards against more second attempts than the replicas are to bear.
    Given <instances> instances that share a ratio of 0.2 and 60 fixed attempts
    When each gets <rate> requests a second and wants a second attempt for each
    Then no 10 seconds hold more second attempts than the ratio and the fixed part

    Examples:
      | instances | rate |
      | 1         | 40   |
      | 11        | 8    |
      | 70        | 1    |

  Scenario: Hedges leave attempts for failed requests
    Guards against hedges that use up what a failed request needs.
    Given 1 instances that share a ratio of 0.2 and 0 fixed attempts
    When 100 requests were hedged as often as allowed
    Then a failed request still gets a second attempt

  Scenario: More instances than a replica takes connections
    Answers 70 instances in 4 data centres with 3 replicas of 67 connections in 3 of them.
    Given 70 instances in 4 data centres and 3 replicas of 67 connections in 3 of them
    When each instance opens its usual connections
    Then each replica has at most half of its connections in use
    And no instance is without a replica
    And an instance in a data centre with a replica uses that one
