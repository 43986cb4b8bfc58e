Feature: Requests are placed by expected cost and remaining work

  Scenario Outline: Callers do not wait longer than with the choice by latency
    Guards against a placement that helps one load and harms another. Each load runs with
    both ways of placement, with the same arrivals; the mean of latency by mean time of
    the kind may differ by the noise between seeds, which the same runs show.
    Given heavy and light requests at 200 a second, with <condition>
    When the load runs with both ways of placement
    Then callers wait no longer than with the choice by latency, but for the noise

    Examples: Loads
      | condition                                          |
      | replicas of 0.8, 1.0 and 1.3 of the speed          |
      | a replica that turns 8 times slower for 6 s        |
      | pauses of 200 ms every 4.5 s                       |
      | pauses of 250 ms every 6 s                         |
      | 78 instances that read the same load               |
      | a burst of 1.7                                     |
      | a workspace whose requests cost 8 times as much    |

    Examples: Wrong estimates
      | condition                                          |
      | estimates that are 10 times too high               |
      | estimates that are 10 times too low                |
      | estimates that are 10 times too high or too low    |
      | no load reports                                    |
      | costs that change by a factor of 3 in mid-run      |

    Examples: Nothing to gain
      | condition                                          |
      | a third of the rate                                |
      | requests of one kind only                          |

  Scenario: Heavy and light requests share the replicas
    Guards against a placement that counts requests: two heavy requests are more work than
    two light ones.
    Given heavy and light requests at 200 a second, with replicas of 0.8, 1.0 and 1.3 of the speed
    When the load runs with both ways of placement
    Then callers wait less than with the choice by latency
    And no more sub-requests are sent

  Scenario: A light request avoids the replica with heavy ones
    Guards against a choice by the number of requests in flight.
    Given two replicas, the first with 3 heavy requests and the second with 3 light ones
    Then 50 light requests all avoid the first

  Scenario: A replica of the local data centre
    Guards against traffic between data centres for small differences.
    Given two replicas, the first of another data centre
    Then 50 light requests all avoid the first

  Scenario: Many instances read the same load at the same time
    Guards against 78 instances that all choose the replica with the lowest load, so that
    its 4 slots get 78 requests.
    Given 78 instances that have read the same report 250 ms ago, of one idle replica of 3
    When each of them places one request
    Then each replica gets some of the requests

  Scenario: The estimate is not affected by tails and pauses
    Guards against a cost that includes pauses of replicas, or follows single requests.
    Given a route that has learned from 2000 responses with a mean of 20 ms, a tail of 1% at 5 times that and pauses of 250 ms every 6 s
    Then its expected cost is within a quarter of 20 ms

  Scenario: The estimate is not affected by failures
    Guards against costs learned from refusals and errors, which take less time.
    Given a route that has learned from 200 responses of 20 ms
    When 200 requests fail after 1 ms
    Then its expected cost is 20 ms as before

  Scenario: The unusual requests of one workspace
    Guards against a workspace that changes the expected cost of all others.
    Given a route that has learned from 2000 responses, a third of them of a workspace whose requests take 8 times as long as 20 ms
    Then the expected cost of another workspace is within a quarter of 20 ms
    And that of the unusual workspace is at least 4 times as high

  Scenario: A new document that does not change the route
    Guards against estimates that are lost with each document.
    Given a route that has learned from 200 responses of 20 ms
    When a new document has the same route
    Then its expected cost is 20 ms as before

  Scenario: A route moves to another service
    Guards against estimates of a service that no longer gets the requests.
    Given a route that has learned from 200 responses of 20 ms
    When a new document sends the route to another service
    Then its expected cost is that of a new route

  Scenario: A route gets a second service
    Guards against estimates that are lost when a part of the requests moves.
    Given a route that has learned from 200 responses of 20 ms
    When a new document splits the route between its service and another one
    Then its expected cost is 20 ms as before

  Scenario: Hedges follow the request
    Guards against hedges of requests that are slow because they are expensive.
    Given a route that has learned from 2000 responses, a third of them of a workspace whose requests take 8 times as long as 20 ms
    Then a request of the unusual workspace is hedged later than another one

  Scenario: A planned stop after the cost of requests has changed
    Guards against requests that are refused in a planned stop because their latencies are
    many times the cost that was expected before. With a service that took 900 ms instead
    of 10 ms, all were refused although they could be answered in time.
    Given a route that has learned from 200 responses of 20 ms
    When it has learned from 30 responses of 600 ms
    Then the longest latency expected is 600 ms
