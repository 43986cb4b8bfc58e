Feature: Refused settings

  Guards against values in force that no instance can use. Each invalid value must be
  refused with its stable code, all problems of a request must be reported at once, and
  nothing may change.

  Scenario Outline: An invalid value is refused with its code
    Guards against values of the wrong type, unit, range or path that are stored.
    Given an empty settings tree
    When an operator sets "<key>" to "<value>" at "<path>"
    Then the request is refused with problem codes "<codes>"
    And revision 0 is in force

    Examples:
      | path       | key                    | value    | codes                    |
      | /          | hedge.bugdet           | 5        | unknown_key              |
      | /          | HEDGE.BUDGET           | 5        | unknown_key              |
      | /          | hedge.budget           | five     | wrong_type               |
      | /          | hedge.budget           | -1       | wrong_type               |
      | /          | hedge.budget           | nan      | wrong_type               |
      | /          | hedge.budget           | 5%       | wrong_type               |
      | /          | hedge.budget           | 20.1     | out_of_range             |
      | /          | admission.queries      | 1.5      | wrong_type               |
      | /          | admission.queries      | ٣        | wrong_type               |
      | /          | admission.queries      | 0        | out_of_range             |
      | /          | search.require_complete| true     | wrong_type               |
      | /          | search.policy          | fastest  | wrong_type               |
      | /          | search.deadline        | 330      | wrong_unit               |
      | /          | search.deadline        | 330m     | wrong_unit               |
      | /          | search.deadline        | 330 ms   | wrong_type               |
      | /          | search.deadline        | 0.5ms    | wrong_type               |
      | /          | search.deadline        | 0ms      | out_of_range             |
      | /          | search.deadline        | 61s      | out_of_range             |
      | /          | target.lifetime        | 4s       | out_of_range             |
      | /          | admission.queries      | 000000000000000000000000000000001 | too_large |
      | user       | hedge.budget           | 5        | bad_path                 |
      | /user/     | hedge.budget           | 5        | bad_path                 |
      | //service  | hedge.budget           | 5        | bad_path                 |
      | /us er     | hedge.budget           | 5        | bad_path                 |
      | /../x      | hedge.budget           | 5        | bad_path                 |
      | /a/b/c/d   | hedge.budget           | 5        | too_deep                 |
      | /abcdefghijklmnopqrstuvwxyz1234567 | hedge.budget | 5 | too_large         |
      | /          | retry.budget           | 46       | combination              |
      | /          | addresses.lifetime     | 2s       | combination              |
      | /          | effects.retention      | 5min     | combination              |
      | /a/b/c/d   | nothing                | 5        | too_deep unknown_key     |

  Scenario Outline: A combination is checked with inherited values
    Guards against values that are valid at one path and contradict each other at a
    branch that inherits one of them.
    Given an empty settings tree
    And the setting "<first>" is "<value>" at "<branch>"
    When an operator sets "<second>" to "<other>" at "<path>"
    Then the request is refused with problem codes "combination"
    And the problem is at "<found at>"

    Examples:
      | branch | first                   | value | path | second                 | other | found at |
      | /      | hedge.budget            | 20    | /u   | retry.budget           | 31    | /u       |
      | /u     | retry.budget            | 40    | /    | hedge.budget           | 11    | /u       |
      | /      | search.deadline         | 60s   | /u/s | ownership.orphan_limit | 59s   | /u/s     |
      | /u     | search.require_complete | yes   | /u/s | retry.budget           | 0     | /u/s     |
      | /u     | effects.retention       | 30min | /    | ownership.orphan_limit | 30min | /u       |

  Scenario: An import with several errors reports all of them and changes nothing
    Guards against an import that stops at the first problem or applies the valid part.
    Given an empty settings tree
    When an operator imports
      """
      [/]
      hedge.budget = 12
      retry.budget = 45
      [/user]
      search.deadline = 5
      search.polcy = cost
      [/user/service/dc/rack]
      target.ramp = 1h
      """
    Then the request is refused with problem codes "combination combination combination out_of_range too_deep unknown_key wrong_unit"
    And revision 0 is in force
    And the audit trail holds 1 refused and 0 accepted requests

  Scenario Outline: A tree that is too large is refused
    Guards against a tree that does not fit into one HTTP request body.
    Given an empty settings tree
    When an operator imports <branches> branches with <values> values each
    Then the request is refused with problem codes "<codes>"

    Examples:
      | branches | values | codes               |
      | 601      | 1      | too_large           |
      | 600      | 6      | too_large           |
      | 601      | 6      | too_large too_large |

  Scenario: A tree of the maximum size is accepted
    Guards against a limit of branches or values that is one too low.
    Given an empty settings tree
    When an operator imports 600 branches with 5 values each
    Then the request is accepted

  Scenario: A key of a newer release does not block changes of other keys
    Guards against an older instance that refuses all changes because of a key that it
    does not know.
    Given an empty settings tree
    And the log holds the value "1" of the unknown key "search.later" at "/user"
    When an operator sets "hedge.budget" to "4" at "/user"
    Then the request is accepted
    And "hedge.budget" is "4" at "/user/service"
