Feature: Bytes of a faulty replica cost no more than the request that they answer

  Scenario Outline: A replica sends bytes without end
    Guards against a response that is kept until the memory is full, and against a
    connection that is read for ever: 400 MB of header lines were kept.
    Given a replica whose bytes never end: <bytes>
    When a request is sent to it
    Then the exchange fails with response_too_large
    And the replica could send at most 24 MB

    Examples:
      | bytes                   |
      | header lines            |
      | one header line         |
      | a body                  |
      | chunks                  |
      | a chunk extension       |
      | trailer lines           |
      | informational responses |

  Scenario Outline: A target of an entry instance sends bytes without end
    Guards against the same at the other kind of connection, which reads with h11.
    Given a replica whose bytes never end: <bytes>
    When an entry instance sends a request to it
    Then the exchange fails with connection_lost
    And the replica could send at most 24 MB

    Examples:
      | bytes                   |
      | header lines            |
      | one header line         |
      | a body                  |
      | chunks                  |
      | a chunk extension       |
      | trailer lines           |
      | informational responses |

  Scenario Outline: A response ends early or cannot be read
    Guards against an answer that broke off and is passed on as a complete success, and
    against an exchange without an outcome.
    Given a replica that sends <bytes>
    When a request is sent to it
    Then the exchange fails with connection_lost

    Examples:
      | bytes                            |
      | half of a body with a length     |
      | half of a chunk                  |
      | half of a trailer                |
      | half of a body and a reset       |
      | half of a status line            |
      | half of a head                   |
      | a head without its empty line    |
      | a 102 and half of a head         |
      | a switch of protocols            |
      | bytes that are no response       |

  Scenario: A reset that the sending of a long request meets first
    Guards against a part of a response without a length that is passed on as a complete
    success, because the kernel reports a reset only once (review/7).
    Given a replica that resets its connection in the middle of a response without a length
    When a request is sent to it whose rest meets the reset first
    Then the exchange fails with connection_lost

  Scenario Outline: A target of an entry instance ends its response early
    Guards against the same at the other kind of connection, which reads with h11.
    Given a replica that sends <bytes>
    When an entry instance sends a request to it
    Then the exchange fails with connection_lost

    Examples:
      | bytes                            |
      | half of a body with a length     |
      | half of a chunk                  |
      | half of a body and a reset       |
      | half of a status line            |
      | half of a head                   |
      | a head without its empty line    |
      | a 102 and half of a head         |

  Scenario Outline: The status of a response is none of HTTP
    Guards against a status that a caller gets but cannot understand, and against a caller
    whose connection is closed because it cannot be encoded.
    Given a replica that answers with status <status>
    When a request is sent to it
    Then the exchange fails with connection_lost
    When an entry instance sends a request to it
    Then the exchange fails with connection_lost

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
      | 20     |
      | 2000   |
      | abc    |

  Scenario: Replicas answer requests of callers with such a status
    Guards against the same on the whole path, forwarded and gathered, with and without an
    attempt left.
    Given gateways with a service of 2 replicas
    When one or both replicas answer with a status of 000, 099, 600, 999, 20, 2000 or abc
    Then callers get answers with status 200, 502 or 503, and no others

  Scenario: All connections together keep a limited number of bytes
    Guards against memory that many connections fill although each keeps its own limit.
    Given a replica whose bytes never end: a body
    When requests are sent to it while other connections hold all bytes
    Then the exchange fails with response_too_large

  Scenario Outline: A connection is not used again after bytes of no request
    Guards against a late second copy of an answer that the next caller gets as its own.
    Given a replica that sends <bytes>
    When two requests are sent to it, one after the other
    Then each gets its own response or none
    And 2 connections were opened

    Examples:
      | bytes                                   |
      | each response twice                     |
      | each response twice without ids         |
      | each response and the start of another  |
      | each response without an id             |

  Scenario: Values of headers have blanks around them
    Guards against an answer that is not recognised, or cannot be sent on to the caller,
    because of blanks that HTTP allows.
    Given a replica that sends each response with blanks around the values of its headers
    When two requests are sent to it, one after the other
    Then each gets its own response
    And no header of a response has blanks around its value

  Scenario Outline: The response to a HEAD request
    Guards against a request that waits until its time limit for a body that HTTP does not
    allow, and against bytes of such a body that are taken for the next response.
    Given a replica that answers HEAD requests with <response>
    When two HEAD requests are sent to it, one after the other
    Then each gets a response with status 200 and no body

    Examples:
      | response                           |
      | a length                           |
      | a length of 0                      |
      | chunked encoding                   |
      | no length                          |
      | a length and, by mistake, a body   |
      | a 102, then a length               |

  Scenario: A late second copy is told apart by its id
    Guards against a late second copy of an answer that the next caller gets as its own.
    Given a replica that repeats its last response before the next one
    When two requests are sent to it, one after the other
    Then each gets its own response

  Scenario: The response cannot be decoded
    Guards against an exception that ends the task of a connection while a request still
    waits for its outcome.
    Given a replica that sends each response
    When a request is sent to it and the decoder fails
    Then the exchange fails with connection_lost

  Scenario: The receiver of a reply fails
    Guards against a request without an outcome after an exception between the arrival of
    its reply and the end of its handling.
    Given a replica that sends each response
    When a request is sent to it and the receiver of its reply fails
    Then the exchange fails with connection_lost

  Scenario: Any bytes
    Guards against an exception, or a request without an outcome, for bytes that no test
    names.
    Given a replica whose bytes are random
    When 150 requests are sent to it
    Then each has exactly one outcome

  Scenario: A replica announces another address
    Guards against exchanges that wait for a connection to the old address and never get
    an outcome.
    Given a replica that accepts 1 connection and answers nothing
    When a second request waits and the replica announces another address
    Then the second request fails with not_sent

  Scenario: A replica that ends leaves nothing behind
    Guards against the memory of finished connections, which a task group kept for as long
    as the process ran.
    Given a replica that sends each response without an id
    When 50 requests are sent to it
    Then the task group of the connections is empty
