Feature: The promises hold while processes, replicas and links fail

  Scenario Outline: A short run of the fault soak
    Guards against broken promises that only real processes show: an answer of another
    request, a request that ran twice or ran although it was refused, an old
    configuration, a fleet that does not recover.
    When the fault soak runs with seed <seed> for 6 seconds
    Then no promise is broken

    Examples:
      | seed |
      | 1    |

  Scenario Outline: The checks of the soak detect broken promises
    Guards against a soak that no longer notices what it checks.
    When a caller sees <answer>
    Then the soak reports "<problem>"

    Examples:
      | answer                                        | problem               |
      | a part that was sent for another request      | another request       |
      | two parts of one shard                        | two parts of a shard  |
      | a part less than it states                    | wrong coverage        |
      | its records in rising order                   | records out of order  |
      | a refusal of a request that ran               | 503 and ran           |
      | an answer to a request that ran at 2 replicas | ran at                |
      | a single answer that was sent for another     | another request       |
      | version 3 when version 4 is due               | version 3 read        |
      | no answer to a request that ran               | got no answer         |
      | an answer of a replica that left 4 s before   | said that it leaves   |
      | 3 answers of a replica that wants none        | while it refused them |

  Scenario: The checks of the soak detect a fleet that does not recover
    Guards against a soak that ends with an exception in place of a report, and leaves out
    the seeds after it.
    When a fleet does not serve within its time limit after the last fault
    Then the soak reports "no complete answers after the last fault"

  Scenario Outline: A short run of the fault soak with workspaces
    Guards against keys, quotas, evacuations and limits of cold replicas that hold in one
    process and not between real ones that fail.
    When the fault soak with workspaces runs with seed <seed> for 12 seconds
    Then no promise is broken

    Examples:
      | seed |
      | 1    |

  Scenario Outline: The checks of the soak detect broken promises of workspaces
    Guards against a soak that no longer notices what it checks, and against one that
    reports what the promise still allows.
    When replicas get <requests>
    Then the soak reports "<problem>"

    Examples:
      | requests                                            | problem                |
      | a request with its key                              | saw its key            |
      | a request with the workspace that a caller forged   | saw the workspace      |
      | a request without the workspace of its key          | saw the workspace      |
      | a request with the former workspace of a moved key  | saw the workspace      |
      | a request with a key that no document held          | no document held       |
      | a request with a key withdrawn 3.1 s before         | withdrew its key       |
      | 87 requests of a workspace in 5 s                   | 87 requests ran        |
      | 59 requests of a workspace after its limit is lower | 59 requests ran        |
      | a request 3.1 s after an evacuation                 | of the evacuation      |
      | 13 requests of a cold service in 1 s                | while it was cold      |
      | a request that was refused with 429                 | refused with 429       |
      | a query that was refused with 503                   | refused with 503       |
