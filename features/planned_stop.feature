Feature: An instance that stops answers all requests that it has accepted

  Scenario Outline: A request arrives while the instance stops
    Guards against a request that is passed on although it cannot end before the process
    is killed, and against callers that are turned away although there is time enough.
    Given replicas of a route have recently taken up to <longest> ms
    And the route has a target latency of <target> ms and a timeout of <timeout> ms
    When a request arrives <left> ms before the last answers of a planned stop
    Then it is <outcome>

    Examples:
      | longest | target | timeout | left | outcome |
      | 250     | 800    | 8000    | 4900 | served  |
      | 250     | 800    | 8000    | 800  | served  |
      | 250     | 800    | 8000    | 700  | refused |
      | 3600    | 800    | 8000    | 4000 | refused |
      | 3600    | 800    | 8000    | 4900 | served  |
      | 3600    | 800    | 400     | 400  | served  |
      | 0       | 100    | 800     | 50   | refused |
      | 250     | 800    | 8000    | 0    | refused |

  Scenario: Longer answers are expected as soon as one was long
    Guards against requests that are accepted by an estimate that follows slowly: 60
    answers of 3 s were needed until a request was expected to take as long.
    When a route answers 20 times after 200 ms and once after 3000 ms
    Then its longest latency is 3000 ms
    When it answers 500 times after 200 ms
    Then its longest latency is less than 250 ms

  Scenario: A replica has not answered when the last answers are due
    Guards against a connection that is closed without an answer because the process ends:
    the caller cannot tell whether its request was read.
    Given a request waits for a silent replica, with 2000 ms left
    When the instance stops and the last answers are due after 500 ms
    Then the request fails with request_failed after 500 ms

  Scenario: The instance stops after its request was forwarded
    Guards against a limit that only new requests obey.
    Given a request waits for a silent replica, with 2000 ms left
    When the instance stops after 300 ms and the last answers are due 500 ms later
    Then the request fails with request_failed after 800 ms

  Scenario Outline: A query is incomplete when the last answers are due
    Guards against a query that is cut off although enough shards have answered.
    Given a query over 10 shards, of which <silent> are silent, with 2000 ms left
    When the instance stops and the last answers are due after 500 ms
    Then the query ends after 500 ms with <outcome>

    Examples:
      | silent | outcome        |
      | 1      | 9 shards       |
      | 5      | request_failed |

  Scenario Outline: The schedule of a stop
    Guards against steps of a stop that come in the wrong order for other grace periods.
    When the stop signal arrives with a grace period of <grace> ms
    Then accepting, answering and exiting end after <accept>, <answer> and <exit> ms

    Examples:
      | grace | accept | answer | exit |
      | 6000  | 3750   | 5000   | 5800 |
      | 3000  | 1875   | 2500   | 2800 |
      | 100   | 62     | 83     | 0    |
