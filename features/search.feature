Feature: The entry's side of a search

  Guards against answers that mix snapshots or claim shards they lack, against load
  that multiplies, and against members that take the share of others.

  Scenario: Defaults of searches are those of the table of keys
    Then the search settings have the defaults of the key table

  Scenario Outline: A missing shard names the right reason
    When all replicas of shard 0 are <condition> and a caller searches
    Then shard 0 is missing because of "<reason>" within the deadline

    Examples:
      | condition  | reason        |
      | crashed    | failed        |
      | silent     | no_replica    |
      | frozen     | timeout       |
      | shedding   | overloaded    |
      | draining   | no_replica    |
      | rolled     | snapshot_gone |

  Scenario: A caller that requires completeness gets a refusal
    When shard 0 is frozen and a caller requires a complete answer
    Then the refusal is "incomplete" and does not say "not run"

  Scenario: A query restarts when its snapshot disappears, at most twice
    When replicas drop the snapshot of a query 3 times for a newer one
    Then the query is sent 3 times and ends as it should

  Scenario: One live replica of each shard is enough
    When two of three replicas of each shard are frozen or crashed
    Then every answer of 200 searches is complete

  Scenario Outline: A broken rule is reported
    When <rule> is broken on purpose
    Then the violation "<code>" is reported

    Examples:
      | rule                       | code                |
      | one snapshot per answer    | mixed_snapshot      |
      | coverage is what is merged | untrue_coverage     |
      | a shard counts once        | shard_counted_twice |
      | no foreign outcome         | foreign_reply       |
      | no foreign reply           | foreign_reply       |
      | extra requests have budget | budget_exceeded     |
      | not run means nothing sent | false_not_run       |

  Scenario: Members get equal shares under overload
    When 4 members with demands of 1, 1, 2 and 4 overload a service
    Then their shares differ by at most 5 percent
    And refused queries sent nothing

  Scenario: A service takes 1.2 times its capacity
    When a service gets 0.8 and 1.2 times its capacity
    Then at least 90 percent of the throughput below capacity is answered in time

  Scenario: Load falls back by itself after a burst that makes everything time out
    When a burst freezes a service that then recovers
    Then extra sub-requests stay within the budgets and answers are complete again

  Scenario: No hedge is sent while a service sheds or all replicas are slow
    Then no hedge is sent when a shard is "slow"
    And no hedge is sent when a shard is "shedding"
