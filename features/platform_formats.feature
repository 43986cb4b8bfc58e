Feature: What the platform says is decoded once and checked

  Scenario: A settings file
    Guards against a process that starts with the addresses of another one.
    Given the settings file of a gateway
    Then it is named by its peer address and knows the seeds' peer addresses

  Scenario Outline: A settings file that cannot be used
    Guards against a process that starts with half of its settings.
    Given the settings file of a gateway
    When <what> in it
    Then it is refused and the problem names "<named>"

    Examples:
      | what                    | named     |
      | the ports are missing   | PortRange |
      | an address has no port  | nowhere   |
      | the grace is a text     | GraceS    |
      | a line makes no sense   | line      |

  Scenario: A gateway does not start with such a file
    Guards against a crash without an explanation.
    Given the settings file of a gateway
    When the ports are missing in it
    Then the command line checks it with exit code 3
    And the gateway ends with exit code 3

  Scenario: A request to a replica
    Guards against a request that is changed on its way.
    When a caller's request with its own deadline and expectations is passed on
    Then method, target, host and other headers are the same
    And the deadline is what is left and the replica is named once

  Scenario: Responses of replicas
    Guards against a response whose meaning is lost.
    Then a response with Not-Executed or 421 proves that the request did not run
    And a response in an encoding is no success
    And a malformed load is ignored
