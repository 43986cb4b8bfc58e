Feature: Requests are served on behalf of the workspace whose key they carry

  Scenario Outline: A request without exactly one valid key
    Guards against a request that runs without a key, and against a key in the response.
    Given a document with the workspaces "acme" and "zeta"
    When a request comes with <credentials>
    Then the caller gets 401 and a challenge for <code>, and nothing is sent

    Examples:
      | credentials                     | code          |
      | no Authorization header         | key_missing   |
      | an empty header                 | key_malformed |
      | the scheme alone                | key_malformed |
      | an empty key                    | key_malformed |
      | the key alone                   | key_malformed |
      | another scheme                  | key_malformed |
      | a tab after the scheme          | key_malformed |
      | a key of 8 kB                   | key_malformed |
      | a non-ASCII key                 | key_malformed |
      | a key with a NUL                | key_malformed |
      | two keys in a header            | key_malformed |
      | the same key in two headers     | key_malformed |
      | another key in a second header  | key_malformed |
      | a scheme in a second header     | key_malformed |
      | the first half of a key         | key_unknown   |
      | a key with a letter more        | key_unknown   |
      | a key in upper case             | key_unknown   |
      | two keys joined by a comma      | key_unknown   |
      | the name of a workspace         | key_unknown   |

  Scenario Outline: The replica sees the workspace and not the key
    Guards against a caller that chooses its workspace itself, and against a key that
    leaks to replicas.
    Given a document with the workspaces "acme" and "zeta"
    When a request comes with <credentials>
    Then the replica sees the workspace acme and no key

    Examples:
      | credentials                           |
      | a key of acme                         |
      | the second key of acme                |
      | a key of acme and a forged workspace  |
      | a key of acme and two forged ones     |
      | a key of acme named as hop-by-hop     |
      | a key of acme with spaces around      |
      | a key of acme and a scheme in capitals |

  Scenario Outline: A public route
    Guards against a public page that needs a key, and against callers of public pages
    that claim a workspace.
    Given a document with the workspaces "acme" and "zeta"
    When a request to the public route comes with <credentials>
    Then the replica sees <seen> and no key

    Examples:
      | credentials                          | seen               |
      | no Authorization header              | no workspace       |
      | a forged workspace alone             | no workspace       |
      | a key of acme and a forged workspace | the workspace acme |
      | the first half of a key              | no workspace       |
      | a key of 8 kB                        | no workspace       |
      | two keys in a header                 | no workspace       |

  Scenario: Without workspaces
    Guards against a deployment without workspaces whose replicas no longer get the
    headers of their callers.
    Given a document without workspaces
    When a request comes with a key of acme and a forged workspace
    Then the replica sees both headers of the caller unchanged

  Scenario Outline: A document with inconsistent workspaces
    Guards against a key that identifies one of two workspaces by chance, and against a
    key in an error message.
    Given a document in which <change>
    Then the document is invalid with the message "<message>" and without a key

    Examples:
      | change                                    | message                                |
      | two workspaces share a key                | workspaces 'acme' and 'zeta' share a key |
      | two workspaces share a name               | workspaces 'acme' and 'acme' share a name |
      | two names differ by a space               | workspaces 'acme' and 'acme ' share a name |
      | a name is blank                           | the name '  ' of a workspace is blank  |
      | 10,000 workspaces share a key             | there are more problems with workspaces |

  Scenario Outline: The quota of a workspace
    Guards against a quota that no instance can compute with, and against a missing one
    that refuses everything.
    Given a document in which a workspace has the <field> <value>
    Then <result>

    Examples:
      | field     | value   | result                                       |
      | RatePerS  | -1      | the document is unreadable with a message about "RatePerS" |
      | RatePerS  | 1e300   | the document is unreadable with a message about "RatePerS" |
      | RatePerS  | 1e999   | the document is unreadable with a message about "Number out of range"     |
      | BurstSize | -0.5    | the document is unreadable with a message about "BurstSize" |
      | BurstSize | 1e300   | the document is unreadable with a message about "BurstSize" |
      | RatePerS  | "many"  | the document is unreadable with a message about "RatePerS" |
      | RatePerS  | 0       | the workspace has no quota                   |
      | RatePerS  | null    | the workspace has no quota                   |
      | Other     | 1       | the workspace has no quota                   |

  Scenario: Documents that are changed at random
    Guards against a key in the message for an unreadable or invalid document.
    Then no message for a changed document contains a key

  Scenario: Credentials of any bytes
    Guards against an exception for bytes that were not thought of, which would be
    logged with the key, and against a request that runs without a key.
    Given a document with the workspaces "acme" and "zeta"
    Then requests with any credentials are refused with 401 or have the key of acme

  Scenario: The priority of a workspace
    Guards against a workspace whose requests are treated by the route's priority.
    Given a document with the workspaces "acme" and "zeta"
    Then requests of acme have its priority 0, those of zeta and others the route's 2

  Scenario Outline: The age of the confirmed state
    Guards against a key that is accepted after its revocation, against a request that
    is refused although its instance is current enough, and against a new key that is
    taken for a wrong one.
    Given a document with the workspaces "acme" and "zeta"
    And a limit for revocations of <limit> and state confirmed <age> ago
    When a request to the <route> route comes with <credentials>
    Then <result>

    Examples: known keys
      | limit | age    | route  | credentials   | result                                     |
      | 5 s   | 3 s    | closed | a key of acme | the replica sees the workspace acme and no key |
      | 5 s   | 4.74 s | closed | a key of acme | the replica sees the workspace acme and no key |
      | 5 s   | 4.75 s | closed | a key of acme | the caller gets 503 and retries elsewhere |
      | 5 s   | never  | closed | a key of acme | the caller gets 503 and retries elsewhere |
      | 5 s   | 4.75 s | public | a key of acme | the caller gets 503 and retries elsewhere |
      | none  | 900 s  | closed | a key of acme | the replica sees the workspace acme and no key |
      | none  | never  | closed | a key of acme | the replica sees the workspace acme and no key |

    Examples: unknown keys
      | limit | age    | route  | credentials             | result                                     |
      | 5 s   | 4 s    | closed | the first half of a key | the caller gets 401 and a challenge for key_unknown, and nothing is sent |
      | 5 s   | 4.1 s  | closed | the first half of a key | the caller gets 503 and retries elsewhere |
      | none  | 4.1 s  | closed | the first half of a key | the caller gets 503 and retries elsewhere |
      | none  | never  | closed | the first half of a key | the caller gets 503 and retries elsewhere |
      | 5 s   | 900 s  | public | the first half of a key | the replica sees no workspace and no key   |
      | 5 s   | 900 s  | public | no Authorization header | the replica sees no workspace and no key   |
      | 5 s   | 900 s  | closed | no Authorization header | the caller gets 401 and a challenge for key_missing, and nothing is sent |

  Scenario: 10,000 workspaces
    Guards against a look-up that takes longer with more workspaces, and against one that
    exceeds the 20 us of processor time of a request.
    Given a document with 10000 workspaces
    Then each key identifies its workspace within 20 us of processor time

  Scenario: Gateway processes with workspaces
    Guards against parts that pass their own tests and do not work together, and against
    a key in a log: the HTTP library quotes a malformed header line in its errors, which
    were logged and sent to the caller.
    Given 4 gateways with a limit for revocations, of which 3 have a disk
    When the operator sends a document with 10000 workspaces
    Then each gateway forwards a request with the workspace and without the key
    And each gateway refuses requests without a key, with a wrong and a malformed one
    When a gateway is suspended, and a document withdraws a key meanwhile
    Then no gateway serves a request with that key after the limit
    And every gateway serves the key that is left and refuses the other with 401
    When the operator sends a document in which two workspaces share a key
    Then no log, metric or error message contains a key

  Scenario Outline: An instance does not learn that a key was withdrawn
    Guards against a withdrawn key that is accepted later than 5 s after the operator's
    document was acknowledged, and against a refusal before 0.6 of that time.
    When <situation> for 8 s and a key is withdrawn
    Then a request with that key is <first> first and <last> last, never accepted too late
    And the instance refuses that key with key_unknown and accepts the other afterwards

    Examples:
      | situation                               | first                | last          |
      | the leader is cut off                   | accepted for 3 s     | state_too_old |
      | the leader hears nobody                 | accepted for 3 s     | state_too_old |
      | a follower is cut off                   | accepted for 3 s     | state_too_old |
      | a follower hears nobody                 | accepted for 3 s     | state_too_old |
      | a follower is not heard                 | key_unknown after 1 s | state_too_old |
      | the leader is not heard                 | key_unknown after 1 s | state_too_old |
      | a learner is cut off                    | accepted for 3 s     | state_too_old |
      | a learner hears nobody                  | accepted for 3 s     | state_too_old |
      | a learner is not heard                  | key_unknown after 1 s | state_too_old |
      | a relay is cut off from the voters      | accepted for 3 s     | state_too_old |
      | the leader is suspended                 | state_too_old        | state_too_old |
      | a follower is suspended                 | state_too_old        | state_too_old |
      | a learner is suspended                  | state_too_old        | state_too_old |
      | a follower restarts while it is cut off | state_too_old        | state_too_old |
      | a learner restarts while it is cut off  | not_started          | not_started   |

  Scenario Outline: Keys are withdrawn and come back while machines and links fail
    Guards against a withdrawn key that an instance accepts too late, or again because of
    an older version that was sent again, and against a valid key that is taken for a
    wrong one.
    When operators withdraw keys in runs <from> to <to> with the log <way>
    Then no run finds a problem, and keys were accepted, wrong, and refused for old state

    Examples:
      | from | to | way                     |
      | 1    | 4  | sent by the leader      |
      | 1    | 4  | passed on by followers  |
