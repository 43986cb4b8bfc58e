@misbehaving_clients
Feature: Clients that do not behave cannot exhaust a process

  Scenario Outline: A crowd of slow readers is the first that an instance serves
    Guards against memory that is counted only after a response has been received: the
    process took it for all callers at once, and ordinary callers lost their instance.
    Given a gateway with 150 MB whose replicas answer with 900,000 bytes, <framing>
    When a crowd of <count> slow readers comes at once for <requests> responses each
    And it stays for 10 s
    Then the process lives within 150 MB with its sockets and 1500 descriptors
    And an ordinary request is answered afterwards

    Examples:
      | framing                     | count | requests |
      | with their length           | 300   | 1        |
      | with their length           | 900   | 1        |
      | with their length           | 300   | 2000     |
      | without their length        | 900   | 1        |
      | in chunks                   | 300   | 1        |

  Scenario: A crowd pipelines requests that the process does not read
    Guards against input that the kernel keeps for each connection beside the memory of
    the process.
    Given a gateway with 100 MB whose replicas answer with 900,000 bytes, with their length
    When a crowd of 640 slow readers comes at once for 4000 responses each
    And it stays for 10 s
    Then the process lives within 100 MB with its sockets and 1500 descriptors
    And an ordinary request is answered afterwards

  Scenario: A crowd of slow readers gets long responses after short ones
    Guards against memory that is reserved by the size of earlier responses alone.
    Given a gateway with 150 MB whose replicas answer with 900,000 bytes, with their length
    And 50 responses of 400 bytes were read before
    When a crowd of 300 slow readers comes at once for 1 responses each
    And it stays for 10 s
    Then the process lives within 150 MB with its sockets and 1500 descriptors
    And an ordinary request is answered afterwards

  Scenario: A crowd asks for answers gathered from long parts while one shard is slow
    Guards against parts of gathered answers that are kept uncounted until the last one
    has come.
    Given a gateway with 150 MB and 6 shards with parts of 320,000 bytes, 1 of them slow
    When a crowd of 150 callers comes at once for answers from all shards
    And it stays for 10 s
    Then the process lives within 150 MB with its sockets and 1500 descriptors
    And an answer from all shards is given once none of them is slow

  Scenario: A crowd sends long bodies to all shards
    Guards against a body that is kept once for each replica that it is sent to.
    Given a gateway with 150 MB and 12 shards with parts of 160 bytes, all of them slow
    When a crowd of 60 callers comes at once with bodies of 262,144 bytes for all shards
    And it stays for 10 s
    Then the process lives within 150 MB with its sockets and 1500 descriptors
    And an answer from all shards is given once none of them is slow

  Scenario Outline: A crowd sends what is costly to parse
    Guards against an instance that does nothing but parse, so that ordinary callers
    wait until the crowd has left, and longer.
    Given a gateway with 150 MB whose replicas answer with 400 bytes, with their length
    When a crowd of <count> senders of <input> comes to the <port> port
    Then an ordinary request is answered while the crowd stays
    And the process lives within 150 MB with its sockets and 1500 descriptors
    And an ordinary request is answered afterwards

    Examples:
      | count | input                         | port    |
      | 50    | bodies in chunks of one byte  | front   |
      | 50    | bodies in chunks of one byte  | control |
      | 300   | heads byte by byte            | front   |
      | 300   | heads byte by byte            | control |
      | 300   | pipelined requests            | front   |
      | 300   | pipelined metrics             | control |
      | 300   | pipelined address lookups     | listing |
      | 300   | metrics on new connections    | control |
      | 300   | requests on new connections   | front   |

  Scenario Outline: A crowd of slow readers asks at the <port> port
    Guards against responses that the kernel holds beside the memory of the process.
    Given a gateway with 150 MB whose replicas answer with 400 bytes, with their length
    And a configuration of 800,000 bytes, asked for at the leader
    When a crowd of 150 slow readers comes at once to the <port> port for <count> <path>
    And it stays for 10 s
    Then the process lives within 150 MB with its sockets and 1500 descriptors
    And an ordinary request is answered afterwards

    Examples:
      | port    | count | path              |
      | control | 3     | /-/config/get     |
      | control | 200   | /metrics          |
      | listing | 2000  | /-/resolve        |

  @known_red
  Scenario: Strangers begin long messages at the port for peers
    Guards against partial messages of strangers that take the memory of the process.
    Given a gateway with 150 MB whose replicas answer with 400 bytes, with their length
    When a crowd of 50 strangers begins messages of 8,000,000 bytes at the peer port
    And it stays for 10 s
    Then the process lives within 150 MB with its sockets and 1500 descriptors
    And an ordinary request is answered afterwards

  Scenario Outline: A crowd comes to an entry instance
    Guards against an entry instance that does nothing but parse, or that keeps what
    callers do not read.
    Given an entry instance
    When a crowd of <crowd> to the http port
    Then an ordinary request is answered while the crowd stays
    And the process lives within 200 MB with its sockets and 1500 descriptors
    And an ordinary request is answered afterwards

    Examples:
      | crowd                                                   |
      | 50 senders of bodies in chunks of one byte comes        |
      | 300 senders of pipelined metrics comes                  |

  Scenario Outline: A single request inside the limits is served in calm
    Guards against bounds that meet a caller who is alone.
    Given a gateway with 80 MB whose replicas answer with 3,900,000 bytes, <framing>
    When a caller sends a body of <body>
    Then the response has 3,900,000 bytes

    Examples:
      | framing                 | body                                 |
      | with their length       | 262,144 bytes with its length        |
      | in chunks               | 20,000 bytes in chunks of one byte   |
      | without their length    | 262,144 bytes in one chunk           |
