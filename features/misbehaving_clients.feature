@misbehaving_clients
Feature: Clients that do not behave cannot exhaust a process

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
      | 300   | heads byte by byte            | front   |
      | 300   | heads byte by byte            | control |
      | 300   | pipelined requests            | front   |

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
      | listing | 2000  | /-/resolve        |
