Feature: A routing document is checked before it is sent

  Scenario: A clean document
    Guards against findings about documents that are in order.
    Given a configuration in order
    Then it has no findings, alone and against itself with a lower version

  Scenario Outline: One fault of each kind
    Guards against a fault that the check does not report or reports as another one.
    Given a configuration in order
    When it is changed: <change>
    Then the only findings are: <findings>

    Examples: Errors, which instances refuse
      | change                          | findings                             |
      | a route has a time limit of 0   | invalid_entry document               |
      | a route names another service   | invalid_entry document               |
      | two workspaces share a key      | invalid_entry document               |
      | a route repeats another         | invalid_entry document, shadowed_route route copy |

    Examples: Entries that can never match
      | change                          | findings                             |
      | a prefix is behind a catch-all  | shadowed_route route copy            |
      | a prefix has a query            | unmatchable_prefix route copy        |
      | a prefix is not a path          | unmatchable_prefix route copy        |
      | a host has a port               | unmatchable_host route copy          |
      | a host has a wildcard           | unmatchable_host route copy          |
      | a part has the weight 0         | unused_part route split              |
      | a workspace has no keys         | workspace_without_keys workspace acme |
      | there are no workspaces         | route_without_callers route all, route_without_callers route split, route_without_callers route shards |
      | no route names a service        | unused_service service extra         |
      | a service is listed twice       | replaced_service service one         |

    Examples: Limits that contradict each other
      | change                          | findings                             |
      | the target exceeds the limit    | target_above_time_limit route all    |
      | attempts exceed the replicas    | attempts_above_replicas route all    |
      | the coverage is 2               | unreachable_coverage route shards    |
      | the top 0 records are asked for | empty_answer route shards            |
      | a quota is 0.8 in a window      | quota_below_one workspace acme       |
      | a burst has no rate             | burst_without_rate workspace acme    |
      | heads may have 0 bytes          | unusable_limit limits                |

  Scenario Outline: One difference of each kind
    Guards against a change of a configuration that an operator does not see.
    Given a configuration in order
    When it is changed: <change>
    Then the differences are: <differences>

    Examples:
      | change                         | differences                                     |
      | the routes are reversed        | none                                            |
      | a prefix is behind a catch-all | entry_added route copy: added                   |
      | the split is removed           | entry_removed route split: removed              |
      | the target exceeds the limit   | entry_changed route all: target_latency changes from 50 ms to 200 ms |
      | a part has the weight 0        | entry_changed route split: destination changes from split 'one' 1, 'two' 3 to split 'one' 1, 'two' 0 |
      | no route names a service       | entry_added service extra: added                |
      | heads may have 0 bytes         | entry_changed limits: head_bytes changes from 16384 to 0 |
      | a quota is 0.8 in a window     | quota_lowered workspace acme: rate is lowered from 10 to 0.16; quota_lowered workspace acme: burst is lowered from 5 to 0 |
      | a burst has no rate            | entry_changed workspace acme: rate changes from 10 to 0 |
      | zeta gets a quota              | quota_lowered workspace zeta: rate is lowered from unlimited to 5 |
      | keys are exchanged             | keys_changed workspace acme: keys added: 2, keys removed: 1 |
      | zeta is removed                | entry_removed workspace zeta: removed; keys_changed workspace zeta: keys added: 0, keys removed: 1 |
      | the table is removed           | entry_changed document: has_workspaces changes from true to false; entry_removed workspace acme: removed; keys_changed workspace acme: keys added: 0, keys removed: 1; entry_removed workspace zeta: removed; keys_changed workspace zeta: keys added: 0, keys removed: 1 |
      | the version is lower           | version_not_higher document: version 1 is not above 4, the document would have no effect |

  Scenario Outline: The command line
    Guards against exit codes that a script cannot rely on, against tracebacks and
    against keys in the output.
    Given a configuration in order
    When it is changed: <change>
    And check-configuration reads it
    Then it exits with <code> and prints <findings> findings, none with a key
    And as JSON it prints the same findings under the documented names

    Examples:
      | change                           | code | findings |
      | nothing is changed               | 0    | 0        |
      | keys are exchanged               | 0    | 1        |
      | a part has the weight 0          | 0    | 2        |
      | a route has a time limit of 0    | 1    | 2        |
      | a name has a line break          | 0    | 2        |
      | three entries have a wrong type  | 1    | 3        |
      | the file is cut off              | 1    | 1        |
      | the file is missing              | 1    | 1        |
      | the file is a folder             | 1    | 1        |
      | the file has 5,000,000 bytes     | 1    | 1        |
      | the file nests 100,000 lists     | 1    | 1        |
      | the file in force is missing     | 1    | 1        |

  Scenario: Any bytes
    Guards against input that ends the command with a traceback, against a key in the
    output, and against a readable document without a verdict of the instances.
    Given a configuration in order
    Then any bytes have findings on single lines without a key, errors only if refused
