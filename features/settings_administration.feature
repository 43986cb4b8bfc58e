Feature: Administration interface

  Guards against unauthorised requests, and against command lines whose exit code or
  output hides whether a change was made.

  Scenario Outline: A request without a valid token gets only an error
    Guards against routes that skip authentication or reveal settings in a refusal.
    Given an empty settings tree
    When <method> "<path>" is called with authorization "<authorization>"
    Then the answer holds only the error "unauthorized" with status 401

    Examples:
      | method | path                  | authorization      |
      | GET    | /v1/settings          |                    |
      | GET    | /v1/settings/value    | Bearer             |
      | GET    | /v1/settings/explain  | Bearer wrong       |
      | GET    | /v1/settings/diff     | Basic aino-token   |
      | GET    | /v1/settings/history  | aino-token         |
      | GET    | /v1/settings/export   | Bearer AINO-TOKEN  |
      | GET    | /v1/audit             | Bearer aino-token2 |
      | POST   | /v1/settings/change   | Bearer ä           |
      | POST   | /v1/settings/rollback | Bearer aino        |
      | POST   | /v1/settings/import   | Bearer wrong       |

  Scenario Outline: A malformed request is refused with a stable code
    Guards against malformed requests that are accepted, cause an internal error or get
    a refusal that does not report that nothing was run.
    Given an empty settings tree
    When an operator calls <method> "<path>" with body '<body>'
    Then the request fails with status <status> and code "<code>"

    Examples:
      | method | path                                | body                            | status | code              |
      | POST   | /v1/settings/change                 | {"base":0}                      | 400    | malformed_request |
      | POST   | /v1/settings/change                 | {"base":0,"changes":[]}         | 400    | malformed_request |
      | POST   | /v1/settings/rollback               | {"base":-1,"to_revision":0}     | 400    | malformed_request |
      | POST   | /v1/settings/rollback               | {"base":0,"to_revision":0,"request_id":""} | 400 | malformed_request |
      | POST   | /v1/settings/import                 | {"base":0,"branches":{"/":[]}}  | 400    | malformed_request |
      | GET    | /v1/settings?path=user              |                                 | 400    | refused_settings  |
      | GET    | /v1/settings/value?path=/&key=none  |                                 | 400    | refused_settings  |
      | GET    | /v1/settings/explain?path=/         |                                 | 400    | refused_settings  |
      | GET    | /v1/settings/diff?new=0             |                                 | 400    | malformed_request |
      | GET    | /v1/settings/diff?old=5             |                                 | 404    | unknown_revision  |
      | GET    | /v1/settings/history?limit=-1       |                                 | 400    | malformed_request |
      | GET    | /v1/audit?before=x                  |                                 | 400    | malformed_request |

  Scenario: The command line reads and changes settings
    Guards against subcommands with wrong exit codes or output.
    Given an empty settings tree served on loopback
    Then these command lines exit and print as follows
      | command line                                          | exit | prints                                     |
      | settings set /user hedge.budget=4 retry.budget=20     | 0    | accepted as revision 1                     |
      | settings get /user/service hedge.budget               | 0    | 4                                          |
      | settings explain /user/service hedge.budget           | 0    | set at /user, revision 1                   |
      | settings show /user                                   | 0    | retry.budget            20     set at /user |
      | settings set / hedge.budget=2 --base 0                | 6    | revision_conflict                          |
      | settings set / hedge.budget=x                         | 3    | refused_settings                           |
      | settings set / hedge.budget=2 --dry-run               | 0    | /     hedge.budget  5 -> 2                 |
      | settings unset /user retry.budget --request-id id-1   | 0    | accepted as revision 4                     |
      | settings unset /user retry.budget --request-id id-1 --base 1 | 0 | accepted as revision 4                 |
      | settings diff 1                                       | 0    | /user  retry.budget  20 -> not set         |
      | settings rollback 1 --json                            | 0    | "revision": 5                              |
      | settings rollback 77                                  | 1    | unknown_revision                           |
      | settings history                                      | 0    | revision 5 is in force                     |
      | settings export                                       | 0    | hedge.budget = 4                           |
      | settings import {folder}/exported.ini                 | 0    | accepted as revision 7                     |
      | settings import {folder}/missing.ini                  | 2    | cannot be read                             |
      | audit --all                                           | 0    | revision_conflict                          |
      | audit --limit 1 --json                                | 0    | "sequence": 7                              |
      | settings get / hedge.budget --token-file {folder}/no  | 2    | cannot be read                             |
      | settings get / hedge.budget --token-file {folder}/bad | 1    | unauthorized                               |

  Scenario: The command line distinguishes an unreachable server from an unknown outcome
    Guards against an operator who takes a change for not run although its outcome is
    unknown.
    Given an empty settings tree served on loopback
    And the outcome of every proposal is unknown
    Then these command lines exit and print as follows
      | command line                                    | exit | prints             |
      | settings set / hedge.budget=4 --request-id id-1 | 7    | --request-id id-1  |
    When the server stops
    Then these command lines exit and print as follows
      | command line                   | exit | prints                     |
      | settings set / hedge.budget=4  | 4    | no connection              |
