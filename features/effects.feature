Feature: Non-idempotent requests run at most once

  Guards against a reminder or a hold that runs twice after a retry, a resend through
  another instance, a lost reply or a crash, and against a refusal that falsely says
  "not run".

  Scenario Outline: Resends, lost replies, target faults and crashes
    When callers resend holds through 3 instances with seeds <first> to <last>
    Then no hold ran twice and no refusal was false

    Examples:
      | first | last |
      | 1     | 100  |
      | 101   | 200  |

  Scenario Outline: A broken rule is found
    When callers resend holds with the rule "<rule>" broken
    Then the run of holds reports "<report>"

    Examples:
      | rule                               | report    |
      | a begun key stays begun            | ran twice |
      | retry only after proof of not run  | SentTwice |

  Scenario Outline: What a resend gets
    Given a hold that was <state>
    When the same hold is sent <change>
    Then the ledger replies <reply>

    Examples:
      | state    | change                        | reply           |
      | finished | again                         | AlreadyFinished |
      | begun    | again                         | AlreadyBegun    |
      | lost     | again                         | AlreadyLost     |
      | released | again                         | Begun           |
      | finished | with another body             | KeyReused       |
      | finished | with another issue time       | KeyReused       |
      | finished | after the retention           | IssuedTooEarly  |
      | finished | after a longer retention      | IssuedTooEarly  |
      | finished | after a restored snapshot     | AlreadyFinished |
      | released | from the future               | IssuedTooLate   |
