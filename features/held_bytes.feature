Feature: What callers make a process hold is bounded

  Scenario Outline: Callers of one kind come in any number
    Guards against connections that take memory without bound, and against bytes that
    stay on the account after their connection has ended: nothing would fit any more.
    Given a server that may hold 8 MB and has 40 connections, with responses of 1 MB
    When 120 callers come that <behaviour>
    Then the bytes held stayed within their bound
    And a caller that tries again if refused is answered
    And nothing is held after all have left

    Examples:
      | behaviour                               |
      | read one byte of the response           |
      | send one byte of a request              |
      | send nothing                            |
      | send half of a body                     |
      | announce a body and send nothing of it  |
      | pipeline 20 requests and read nothing   |
      | end their side after the request        |
      | reset in the middle of a response       |

  Scenario: Responses that nobody reads leave no room for another one
    Guards against a request that is run although its response cannot be held, and
    against a refusal without a time to try again.
    Given a gateway whose memory for responses is held by others
    When it gets a request
    Then the request is refused as not run, with a time to try again
    When the others have read their responses
    And it gets a request
    Then the request is not refused for memory

  Scenario Outline: Others take all connections of the control port
    Guards against notices of replicas that are not heard because the connections of
    others are kept.
    Given a server for calls with 8 connections
    When 30 callers connect to it and <behaviour>
    Then the next call is answered

    Examples:
      | behaviour                           |
      | send nothing                        |
      | send half of a head                 |
      | send half of a body                 |
      | do not read a response of 1 MB      |

  Scenario: Connections to the peer port never say anything
    Guards against descriptors that others than instances hold for 30 s each.
    Given a peer transport
    When 20 callers connect to it and send nothing
    Then their connections are closed within 6 s

  Scenario: Long documents take the memory for calls
    Guards against notices of replicas that are refused because of others' documents.
    Given a server for calls that holds as many bytes as it may
    When a call with a body of 1 KB and one with a body of 100 KB arrive
    Then the first is answered and the second is refused with 503 and Retry-After

  Scenario: The bounds of the smallest and of other machines
    Guards against defaults that a machine of 200 MB reaches at ordinary load, or that
    exceed its memory.
    Then a machine of 200 MB may hold 68 MB and 1950 connections of callers
    And a machine of 10 MB may hold 8 MB and 1950 connections of callers

  Scenario: Responses, parts, retries and hedges in any order
    Guards against bytes that stay on the account after their request has ended, and
    against a response that is received without room.
    Given an account with room for 100,000 bytes of responses
    When 2,000 requests of seed 1 take, keep and give back memory in any order
    Then the bytes held stayed within their bound, except for one response alone
    And nothing is held after all have ended

  Scenario: A response is longer than those before
    Guards against requests that are run by the size of earlier responses although a
    longer one has begun.
    Given an account with room for 1,000,000 bytes of responses
    When the first of a route states 900,000 bytes
    Then a further request of the route is refused until it has ended

  Scenario: A connection uses more processor time than its share
    Guards against a caller who delays all others by what is costly to parse, and against
    one who is delayed for long after a single long request.
    Given a connection with a share of 5% of a processor
    Then it may use 5 ms at once, and then 5 ms in 100 ms
    And after any use it may use its share again within 1 s
