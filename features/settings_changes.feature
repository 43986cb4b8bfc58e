Feature: Changes of settings

  Guards against lost changes, changes that run twice, revisions that fall, and an audit
  trail that can be edited unnoticed.

  Scenario: The second of two racing operators gets a conflict that names the winner
    Given an empty settings tree
    And an operator sets "hedge.budget" to "4" at "/"
    When "nikos" sets "hedge.budget" to "6" at "/" against revision 0
    Then the request fails with status 409 and code "revision_conflict"
    And the winner is revision 1 by "aino" at "2026-01-01T00:00:01Z"
    And "hedge.budget" is "4" at "/"
    And the audit trail holds 1 refused and 1 accepted requests

  Scenario: A base from the future is refused without an entry
    Given an empty settings tree
    When "nikos" sets "hedge.budget" to "6" at "/" against revision 9
    Then the request fails with status 503 and code "revision_ahead"
    And the log holds 0 entries

  Scenario: A resend gets the first outcome although the revision has moved on
    Given an empty settings tree
    And request "r-1" sets "hedge.budget" to "4" at "/" against revision 0
    And an operator sets "hedge.budget" to "6" at "/"
    When request "r-1" sets "hedge.budget" to "4" at "/" against revision 0
    Then the request is accepted as revision 1
    And "hedge.budget" is "6" at "/"
    And the log holds 2 entries

  Scenario: A resend of a refused change gets the first refusal
    Given an empty settings tree
    And request "r-1" sets "hedge.budget" to "21" at "/" against revision 0
    And an operator sets "hedge.budget" to "6" at "/"
    When request "r-1" sets "hedge.budget" to "21" at "/" against revision 0
    Then the request is refused with problem codes "out_of_range"
    And the log holds 2 entries

  Scenario: A request id cannot be used for another request
    Given an empty settings tree
    And request "r-1" sets "hedge.budget" to "4" at "/" against revision 0
    When request "r-1" sets "hedge.budget" to "6" at "/" against revision 0
    Then the request fails with status 409 and code "request_id_reused"

  Scenario: A rollback is a new revision
    Given an empty settings tree
    And an operator sets "hedge.budget" to "4" at "/"
    And an operator sets "hedge.budget" to "6" at "/"
    When an operator rolls back to revision 1
    Then the request is accepted as revision 3
    And "hedge.budget" is "4" at "/"

  Scenario: A rollback to a revision that was never made is refused and recorded
    Given an empty settings tree
    And an operator sets "hedge.budget" to "4" at "/"
    When an operator rolls back to revision 7
    Then the request fails with status 404 and code "unknown_revision"
    And the audit trail holds 1 refused and 1 accepted requests

  Scenario: A dry run lists known services and data centres and changes nothing
    Given an empty settings tree
    And the setting "hedge.budget" is "2" at "/user/mail"
    And the known paths "/user/invoices /user/mail /user/mail/oulu /other/service"
    When an operator tries "hedge.budget" at "/user" with "7"
    Then the values that would change are at "/user /user/invoices"
    And revision 1 is in force

  Scenario: A dry run learns of services from announcements
    Given an empty settings tree
    And a target of "user/mail" in "oulu" was announced
    When an operator tries "hedge.budget" at "/user" with "7"
    Then the values that would change are at "/user /user/mail /user/mail/oulu"

  Scenario: A revision that falls is reported and not applied
    Given an empty settings tree
    And an operator sets "hedge.budget" to "4" at "/"
    When an entry with index 1 is applied again
    And a snapshot of revision 0 is restored
    Then the violations are "revision_fell revision_fell"
    And "hedge.budget" is "4" at "/"

  Scenario: A restored snapshot continues the log, the history and the audit trail
    Given an empty settings tree
    And an operator sets "hedge.budget" to "4" at "/"
    And request "r-2" sets "hedge.budget" to "21" at "/" against revision 1
    When the state is encoded, decoded and restored elsewhere
    Then both states hold the same

  Scenario Outline: A broken audit chain is found
    Given an audit trail of 6 entries that keeps <kept>
    When entry <entry> is <fault>
    Then the audit trail has a fault at entry "<found>"

    Examples:
      | kept | entry | fault                        | found |
      | 6    | 3     | left as it is                |       |
      | 4    | 4     | left as it is                |       |
      | 6    | 3     | removed                      | 3     |
      | 6    | 1     | removed                      | 1     |
      | 4    | 3     | removed                      | 3     |
      | 6    | 3     | edited                       | 3     |
      | 6    | 3     | edited and its hash replaced | 4     |
      | 6    | 5     | cut out of the chain         | 5     |

  Scenario: Random changes agree with plain models
    Then values, history and encodings of random trees agree with plain models
