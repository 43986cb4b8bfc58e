Feature: Formats of the platform are decoded once and validated

  Scenario: A settings file
    Guards against an instance that uses the addresses of another instance.
    Given the settings file of a gateway
    Then the instance is named by its peer address and knows the seeds' peer addresses

  Scenario Outline: An invalid settings file
    Guards against a process that starts with incomplete settings.
    Given the settings file of a gateway
    When <change> in it
    Then the file is refused and the problem names "<name>"

    Examples:
      | change                       | name      |
      | the ports are missing        | PortRange |
      | an address has no port       | nowhere   |
      | the grace period is a string | GraceS    |
      | a line is malformed          | line      |
      | the grace period is 1e300    | too large |
      | a list is nested 5,000 deep  | recursion |

  Scenario: A share of the processor that is none
    Guards against a connection that never, or always, waits for others.
    Given the settings file of a gateway
    When the variable LOVAGETRAY_CONNECTION_SHARE is 500
    Then the file is refused and the problem names "LOVAGETRAY_CONNECTION_SHARE"

  Scenario: A gateway does not start with an invalid settings file
    Guards against a crash without an error message.
    Given the settings file of a gateway
    When the ports are missing in it
    Then the command line refuses the file with exit code 3
    And the gateway exits with exit code 3

  Scenario: A request to a replica
    Guards against a request that is altered when it is forwarded, and against headers
    of the caller that replace those of the gateway.
    When a caller's request with its own deadline and expected instance is forwarded
    Then method, request target, host and end-to-end headers are unchanged
    And the deadline is the remaining time and the replica is named once

  Scenario Outline: An odd deadline of a caller
    Guards against a caller that gets no answer, because its deadline ends the task that
    reads the request: a duration cannot hold 10^30 ms, nor an integer 5,000 digits.
    When a caller's request has the deadline <deadline>
    Then its time left is <time> ms

    Examples:
      | deadline     | time     |
      | 99999999     | 99999999 |
      | 31 digits    | no       |
      | 5,000 digits | no       |
      | -5           | no       |
      | 1e3          | no       |

  Scenario Outline: The capacity of a machine
    Guards against callers at an instance whose settings state no, or an impossible,
    capacity, as if its machine were fast.
    Given the settings file of a gateway
    When its limits are a share of <share>, a speed of <speed> and <link> Mbit/s
    Then its capacity is <capacity>

    Examples:
      | share | speed | link | capacity           |
      | 0.688 | 2     | 70.0 | 1.376 and 70 Mbit/s |
      | 0.516 | 1     | 7    | 0.516 and 7 Mbit/s |
      | 0.516 | 1     | 0    | unknown            |
      | 0.516 | 1     | nan  | unknown            |
      | 0.516 | 1     | inf  | unknown            |

  Scenario: Responses of replicas
    Guards against a refusal that counts as a request that may have run, an encoded
    response that counts as a success, and a malformed load report that is used.
    Then a response with Not-Executed or 421 proves that the request did not run
    And a response with a content encoding is not a success
    And a malformed load report is ignored
    And a response with Server-Leaving states that the replica is leaving
    And the seconds of Retry-After count for status 503 alone, if they are a number

  Scenario Outline: An odd notice of another writer
    Guards against an entry that ends the task which reads it, or that names an address
    to which no connection can be opened.
    When a notice has <change>
    Then the notice is refused as unreadable

    Examples:
      | change                              |
      | 5,000 nested lists                  |
      | 1,000,000 nested objects            |
      | the port 0                          |
      | the port 70000                      |
      | a port of 5,000 digits              |
      | a host of 70,000 letters            |
      | the host of a group                 |
      | no host                             |
      | a warm-up of 1e300 ms               |
      | a sequence of 31 digits             |
      | a start time of 31 digits           |
      | 1e18 slots                          |
      | a negative sequence                 |
      | a replica id of 5,000 letters       |

  Scenario Outline: An odd configuration
    Guards against a configuration that ends the task which reads it.
    When a configuration has <change>
    Then the configuration is refused as unreadable

    Examples:
      | change                    |
      | 5,000 nested lists        |
      | a time limit of 1e300 ms  |
      | a negative time limit     |
      | an idle time of 1e300 ms  |
      | a version of 31 digits    |

  Scenario: Decoders of the platform's formats return a result for any bytes
    Guards against an exception for input that no test names.
    Then decoding any bytes as a notice, configuration or response returns a result
