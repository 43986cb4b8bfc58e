Feature: Requests go to the replica that is expected to answer first

  Scenario: Faster replicas get more requests
    Guards against equal shares for replicas of one shard that differ in speed.
    Given replicas that answer in 10, 20 and 40 ms
    When 600 requests are sent, 4 at a time
    Then the fastest replica gets the most and the slowest the fewest

  Scenario: A stalled replica is avoided
    Guards against requests to a replica that pauses for a quarter of a second.
    Given replicas that answer in 10, 10 and 10 ms
    When a request to the first has been in flight for 200 ms
    Then the next 50 requests avoid the first

  Scenario: A slow replica is not tried again every second
    Guards against frequent requests to a replica that is slow for 8 s, since each of them
    costs a hedge. In a run without other faults a quarter of the queries found the retry
    budget of such shards exhausted.
    Given replicas that answer in 10, 10 and 10 ms
    And only the first is in the local data centre
    When the first answers 12 times as slowly as the others, 3 times
    Then it gets less than 1 of 20 requests for 5 seconds

  Scenario: A replica that accepts no connection is tried again after a while
    Guards against requests to a crashed replica, and against one that gets no requests
    after it has come back.
    Given replicas that answer in 10, 10 and 10 ms
    When the first accepts no connection
    Then the next 50 requests avoid the first
    And after 3 seconds it gets requests again

  Scenario: A replica without a free connection is avoided
    Guards against requests that wait for a connection while another replica has a free
    one.
    Given replicas that answer in 10, 10 and 10 ms
    When all connections of the first are in use
    Then the next 50 requests avoid the first

  Scenario Outline: All instances together keep to the retry budget
    Guards against more retries and hedges than the replicas are meant to handle.
    Given <instances> instances that share a ratio of 0.2 and 60 fixed attempts
    When each gets <rate> requests a second and asks for a hedge or a retry of each
    Then no 10 seconds have more retries and hedges than the ratio and the fixed part allow

    Examples:
      | instances | rate |
      | 1         | 40   |
      | 11        | 8    |
      | 70        | 1    |

  Scenario Outline: A hedge is sent early enough for its answer to be in time
    Guards against a hedge whose answer comes after the query was answered without it. On
    a day of the large deployment the upper quantile was 40 to 60 ms, the answer was due
    after 73 ms, and in most of the shards left out both replicas were still at work.
    Given a route whose answers take <mean> ms in the mean and <upper> ms at the quantile
    Then a query whose answer is due in <due> ms is hedged after <delay> ms

    Examples:
      | mean | upper | due | delay |
      | 20   | 60    | 73  | 43    |
      | 20   | 30    | 73  | 30    |
      | 20   | 60    | 300 | 60    |
      | 40   | 60    | 73  | 60    |
      | 20   | 60    | -5  | 60    |

  Scenario: Hedges leave attempts for failed requests
    Guards against hedges that use up the retry budget that failed requests need.
    Given 1 instances that share a ratio of 0.2 and 0 fixed attempts
    When 100 requests are hedged as often as allowed
    Then a failed request may still be retried

  Scenario: More instances than a replica accepts connections
    Guards against replicas without free connections and instances without a replica when
    70 instances in 4 data centres share 3 replicas of 67 connections in 3 of them.
    Given 70 instances in 4 data centres and 3 replicas of 67 connections in 3 of them
    When each instance opens connections up to its soft limit
    Then each replica has at most half of its connections in use
    And no instance is without a replica
    And an instance in a data centre with a replica uses that one
