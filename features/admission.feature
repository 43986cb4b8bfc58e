Feature: Requests that cannot be served in time are refused at once, as not run

  Scenario Outline: The decision on one request
    Guards against refusals where there is room, against requests that wait for a replica
    until they are late, and against requests of low priority that take the room of
    others.
    Given a request of priority <priority> with <left> ms left, a target of <target> ms and a cost of <cost> ms
    And a mean cost of 40 ms, and others of priority 0 that can wait for 200 ms
    When the best replica has a wait of <wait> ms
    Then the request is <outcome>

    Examples:
      | priority | left | target | cost | wait | outcome               |
      | 0        | 1000 | 100    | 40   | 0    | admitted              |
      | 2        | 1000 | 100    | 40   | 0    | admitted              |
      | 0        | 1000 | 100    | 40   | 150  | admitted              |
      | 0        | 1000 | 100    | 40   | 250  | refused for scarcity  |
      | 0        | 100  | 100    | 40   | 70   | refused for deadline  |
      | 1        | 1000 | 100    | 40   | 110  | admitted              |
      | 1        | 1000 | 100    | 40   | 150  | refused for scarcity  |
      | 2        | 1000 | 100    | 40   | 60   | admitted              |
      | 2        | 1000 | 100    | 40   | 110  | refused for scarcity  |
      | 2        | 8000 | 800    | 40   | 110  | refused for scarcity  |
      | 1        | 1000 | 100    | 10   | 140  | admitted              |
      | 1        | 1000 | 100    | 200  | 110  | refused for scarcity  |
      | 0        | 100  | 100    | 150  | 0    | admitted              |
      | 0        | 100  | 100    | 250  | 0    | refused for too_long  |

  Scenario Outline: A workspace that uses most, and one that gets least
    Guards against a hot workspace that takes the room of the others, and a workspace that
    is not served at all.
    Given a request of priority 1 with 1000 ms left, a target of 100 ms and a cost of 40 ms
    And a mean cost of 40 ms, and others of priority 0 that can wait for 200 ms
    And a workspace that is served <served> times as often as all and uses <use> of the replicas
    When the best replica has a wait of 110 ms
    Then the request is <outcome>

    Examples:
      | served | use | outcome              |
      | 1      | 0.1 | admitted             |
      | 1      | 0.6 | refused for scarcity |
      | 0.4    | 0.6 | admitted             |

  Scenario Outline: More requests than the replicas can serve
    Guards against replicas that work for callers who have given up. Each load runs with
    the choice by latency as well as with admission control, with the same arrivals.
    Given <load>
    When the load runs with the choice by latency and with admission control
    Then more requests of priority 0 are answered in time than with the choice by latency
    And priority 0 is answered more often than 1, and 1 more often than 2
    And no workspace is served less than a quarter as often as all
    And refused requests were not sent to a replica
    And the callers return over time
    And the queues of replicas are shorter than with the choice by latency

    Examples:
      | load                                     |
      | a burst of 1.7 of all requests           |
      | a burst of 2.4 of all requests           |
      | a workspace at 7.5 times its usual rate  |

  Scenario Outline: There is room for all requests
    Guards against refusals that are not needed, with right and with wrong estimates.
    Given <load>
    When the load runs with the choice by latency and with admission control
    Then at most 1 of 1000 requests is refused
    And as many requests are answered in time, but for 1 of 200

    Examples:
      | load                                                     |
      | half of the rate that replicas can serve                 |
      | half of the rate, estimates 10 times too high            |
      | half of the rate, estimates 10 times too low             |
      | half of the rate, estimates 10 times too high or too low |
      | half of the rate, no load reports                        |

  Scenario: The priority of a workspace
    Guards against the priority of the route where the workspace has its own.
    Given a burst of 2.4 of all requests, of which the largest workspace has priority 0
    When the load runs with the choice by latency and with admission control
    Then the largest workspace is answered more often than the others

  Scenario: The setting is the default
    Guards against refusals where the setting does not enable them.
    Given a burst of 2.4 of all requests
    When the load runs with admission control and the choice by latency
    Then no request is refused
