Feature: Non-idempotent requests run at most once

  Guards against a reminder or a hold (a temporary reservation) that runs twice after a
  retry, a resend through another instance, a lost reply or a crash, and against a
  refusal that reports "not run" for a request that ran.

  Scenario Outline: Resends, lost replies, target faults and crashes
    Guards against outcomes that go wrong only when several of these come together.
    When callers resend holds through 3 instances with seeds <first> to <last>
    Then no hold ran twice and every refusal was correct

    Examples:
      | first | last |
      | 1     | 100  |
      | 101   | 200  |

  Scenario Outline: The checks detect deliberate defects
    Guards against a simulation that no longer notices a violated rule.
    When callers resend holds with the rule "<rule>" broken
    Then the run of holds reports "<report>"

    Examples:
      | rule                               | report    |
      | a begun key stays begun            | ran twice |
      | retry only after proof of not run  | SentTwice |

  Scenario Outline: The ledger's reply to a resend
    Guards against a resend that is started again although the first send may have run,
    also after the retention, and against a key that is used for another request.
    Given a hold that was <state>
    When the same hold is sent <change>
    Then the ledger replies <reply>

    Examples:
      | state    | change                        | reply           |
      | finished | unchanged                     | AlreadyFinished |
      | begun    | unchanged                     | AlreadyBegun    |
      | lost     | unchanged                     | AlreadyLost     |
      | released | unchanged                     | Begun           |
      | finished | with another body             | KeyReused       |
      | finished | with another issue time       | KeyReused       |
      | finished | after the retention           | IssuedTooEarly  |
      | finished | after a longer retention      | IssuedTooEarly  |
      | finished | after a restored snapshot     | AlreadyFinished |
      | released | with a future issue time      | IssuedTooLate   |
