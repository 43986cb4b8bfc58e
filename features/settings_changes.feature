Feature: Changes of settings

  Guards against lost changes, changes that are applied twice, revisions that
  decrease, and an audit trail that can be edited unnoticed.

  Scenario: The second of two concurrent changes gets a conflict that names the winner
    Guards against an operator who overwrites a change that they have not seen.
    Given an empty settings tree
    And an operator sets "hedge.budget" to "4" at "/"
    When "nikos" sets "hedge.budget" to "6" at "/" against revision 0
    Then the request fails with status 409 and code "revision_conflict"
    And the winner is revision 1 by "aino" at "2026-01-01T00:00:01Z"
    And "hedge.budget" is "4" at "/"
    And the audit trail holds 1 refused and 1 accepted requests

  Scenario: A base above the current revision is refused without an entry
    Guards against a change that an instance decides without the settings that it is
    based on.
    Given an empty settings tree
    When "nikos" sets "hedge.budget" to "6" at "/" against revision 9
    Then the request fails with status 503 and code "revision_ahead"
    And the log holds 0 entries

  Scenario: A resend gets the first outcome although the revision has changed since
    Guards against a change that is reported as a conflict, or applied twice, because
    the first reply was lost and the request is sent again.
    Given an empty settings tree
    And request "r-1" sets "hedge.budget" to "4" at "/" against revision 0
    And an operator sets "hedge.budget" to "6" at "/"
    When request "r-1" sets "hedge.budget" to "4" at "/" against revision 0
    Then the request is accepted as revision 1
    And "hedge.budget" is "6" at "/"
    And the log holds 2 entries

  Scenario: A resend of a refused change gets the first refusal
    Guards against a refusal that turns into a conflict when the request is resent.
    Given an empty settings tree
    And request "r-1" sets "hedge.budget" to "21" at "/" against revision 0
    And an operator sets "hedge.budget" to "6" at "/"
    When request "r-1" sets "hedge.budget" to "21" at "/" against revision 0
    Then the request is refused with problem codes "out_of_range"
    And the log holds 2 entries

  Scenario: A request id cannot be used for another request
    Guards against a change that is reported as accepted with the outcome of another
    one.
    Given an empty settings tree
    And request "r-1" sets "hedge.budget" to "4" at "/" against revision 0
    When request "r-1" sets "hedge.budget" to "6" at "/" against revision 0
    Then the request fails with status 409 and code "request_id_reused"

  Scenario: A rollback is a new revision
    Guards against a rollback that removes revisions from the history.
    Given an empty settings tree
    And an operator sets "hedge.budget" to "4" at "/"
    And an operator sets "hedge.budget" to "6" at "/"
    When an operator rolls back to revision 1
    Then the request is accepted as revision 3
    And "hedge.budget" is "4" at "/"

  Scenario: A rollback to an unknown revision is refused and recorded
    Guards against a rollback to a revision that was never made, and against refusals
    that are missing from the audit trail.
    Given an empty settings tree
    And an operator sets "hedge.budget" to "4" at "/"
    When an operator rolls back to revision 7
    Then the request fails with status 404 and code "unknown_revision"
    And the audit trail holds 1 refused and 1 accepted requests

  Scenario: A dry run lists known services and data centres and changes nothing
    Guards against a dry run that is applied or that omits services without their own
    values.
    Given an empty settings tree
    And the setting "hedge.budget" is "2" at "/user/mail"
    And the known paths "/user/invoices /user/mail /user/mail/oulu /other/service"
    When an operator sets "hedge.budget" at "/user" to "7" in a dry run
    Then the values that would change are at "/user /user/invoices"
    And revision 1 is in force

  Scenario: A dry run includes announced services
    Guards against a dry run that knows only the paths with values of their own.
    Given an empty settings tree
    And a target of "user/mail" in "oulu" was announced
    When an operator sets "hedge.budget" at "/user" to "7" in a dry run
    Then the values that would change are at "/user /user/mail /user/mail/oulu"

  Scenario: A decrease of the revision is reported and not applied
    Guards against a log or a snapshot that replaces newer settings by older ones.
    Given an empty settings tree
    And an operator sets "hedge.budget" to "4" at "/"
    When an entry with index 1 is applied again
    And a snapshot of revision 0 is restored
    Then the violations are "revision_fell revision_fell"
    And "hedge.budget" is "4" at "/"

  Scenario: A restored snapshot continues the log, the history and the audit trail
    Guards against parts of the state that are missing after a restart from a snapshot.
    Given an empty settings tree
    And an operator sets "hedge.budget" to "4" at "/"
    And request "r-2" sets "hedge.budget" to "21" at "/" against revision 1
    When the state is encoded, decoded and restored in another state
    Then both states remain equal after another change

  Scenario Outline: A broken audit chain is detected
    Guards against audit entries that are removed or edited without a trace.
    Given an audit trail of 6 entries that keeps <kept>
    When entry <entry> is <fault>
    Then the audit trail has a fault at entry "<found>"

    Examples:
      | kept | entry | fault                             | found |
      | 6    | 3     | left unchanged                    |       |
      | 4    | 4     | left unchanged                    |       |
      | 6    | 3     | removed                           | 3     |
      | 6    | 1     | removed                           | 1     |
      | 4    | 3     | removed                           | 3     |
      | 6    | 3     | edited                            | 3     |
      | 6    | 3     | edited and its hash replaced      | 4     |
      | 6    | 5     | removed and its neighbours linked | 5     |

  Scenario: Random changes agree with reference models
    Guards against errors in inheritance, history or encodings that only some
    combinations of values reveal.
    Then values, history and encodings of random trees agree with reference models
