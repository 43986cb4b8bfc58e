Feature: A request that a replica does not take in at once harms no other request

  Scenario Outline: A connection ends while a long request is being sent on it
    Guards against a socket that is closed under the task that sends on it: curio's kernel
    failed with KeyError, and all other requests ended with the process (review/1).
    Given a replica that reads nothing of long requests
    And a sound replica that works for 300 ms
    When 8 long requests are being sent to the first one and 4 short ones run at the other
    And the first replica <end>
    Then each long request has exactly one outcome
    And each short request is answered

    Examples:
      | end                                       |
      | resets its connections                    |
      | answers and closes its connections        |
      | answers before it has read the requests   |

  Scenario: A replica reads nothing of a long request
    Guards against a request that waits for as long as the replica does not read: its
    answer was due at its time limit, and never came (review/2).
    Given a replica that reads nothing of long requests
    When 8 long requests with 400 ms left are sent to it
    Then none of them waits for the replica to read
    And each ends with connection_lost once its time has passed
    And the replica's connections are closed
