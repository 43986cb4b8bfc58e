Feature: The entry's side of a search

  Guards against answers that mix snapshots or claim shards they lack, against load
  that multiplies, and against members that take the share of others.

  Scenario: Defaults of searches are those of the table of keys
    Then the search settings have the defaults of the key table

  Scenario Outline: A missing shard names the right reason, within the deadline
    Then a shard with <condition> replicas is missing because of "<reason>"

    Examples:
      | condition | reason        |
      | crashed   | failed        |
      | silent    | no_replica    |
      | frozen    | timeout       |
      | shedding  | overloaded    |
      | draining  | no_replica    |
      | rolled    | snapshot_gone |

  Scenario: Coverage is kept, or its lack is stated
    Then a caller that requires a complete answer is refused as "incomplete"
    And a query whose snapshot disappears 1 times restarts 1 times
    And a query whose snapshot disappears 2 times restarts 2 times
    And a query whose snapshot disappears 3 times restarts 2 times
    And answers stay complete when two of three replicas are frozen or crashed

  Scenario Outline: A broken rule is reported
    Then breaking "<rule>" is reported as "<code>"

    Examples:
      | rule                       | code                |
      | one snapshot per answer    | mixed_snapshot      |
      | coverage is what is merged | untrue_coverage     |
      | a shard counts once        | shard_counted_twice |
      | no foreign outcome         | foreign_reply       |
      | no foreign reply           | foreign_reply       |
      | not run means nothing sent | false_not_run       |

  Scenario: An exceeded budget is reported
    Then a bucket that grants every token is reported as "budget_exceeded"

  Scenario: Overload is shared and passes
    Then 4 members with demands of 1, 1, 2 and 4 get shares within 5 percent
    And a service at 1.2 times its capacity answers 90 percent of 0.8 times
    And load falls back by itself after a burst that makes everything time out
    And no hedge is sent when a shard is slow
    And no hedge is sent when a shard is shedding
