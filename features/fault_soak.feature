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
