Feature: Coordination of a search on an entry instance

  Guards against answers that mix snapshots or claim shards that they do not include,
  against extra requests that multiply load, and against members that take the share of
  others.

  Scenario: The default search settings are those of the table of keys
    Guards against documented defaults that differ from those in use.
    Then the search settings have the defaults of the key table

  Scenario Outline: A missing shard has the correct reason within the deadline
    Guards against answers that wait beyond the deadline for a failed shard or report a
    wrong cause.
    Then a shard whose replicas are <condition> is missing because of "<reason>"

    Examples:
      | condition          | reason        |
      | crashed            | failed        |
      | silent             | no_replica    |
      | frozen             | timeout       |
      | shedding           | overloaded    |
      | draining           | no_replica    |
      | without a snapshot | snapshot_gone |

  Scenario: An answer is complete or states which shards are missing
    Guards against incomplete answers that are not marked as such, against endless
    restarts of a query, and against shards lost although one of their replicas works.
    Then a caller that requires a complete answer is refused as "incomplete"
    And a query whose snapshot disappears 1 times restarts 1 times
    And a query whose snapshot disappears 2 times restarts 2 times
    And a query whose snapshot disappears 3 times restarts 2 times
    And answers stay complete when two of three replicas are frozen or crashed

  Scenario Outline: A violated invariant is reported
    Guards against invariant checks that never fire. Each example uses a component with
    a deliberate defect.
    Then violating "<invariant>" is reported as "<code>"

    Examples:
      | invariant                        | code                |
      | one snapshot per answer          | mixed_snapshot      |
      | coverage lists the merged shards | untrue_coverage     |
      | a shard counts once              | shard_counted_twice |
      | no unrequested outcome           | foreign_reply       |
      | no mismatched reply              | foreign_reply       |
      | not run means nothing sent       | false_not_run       |

  Scenario: An exceeded retry budget is reported
    Guards against hedges or retries beyond the retry budget that no check reports.
    Then a bucket that grants every token is reported as "budget_exceeded"

  Scenario: Members share the capacity under overload, and the overload ends
    Guards against unfair admission, throughput that collapses above the capacity, and
    load that stays high after its cause is gone, because of hedges and retries.
    Then 4 members with demands of 1, 1, 2 and 4 get shares within 5 percent
    And a service at 1.2 times its capacity answers 90 percent of 0.8 times
    And load returns to normal after a burst in which every search times out
    And no hedge is sent when a shard is slow
    And no hedge is sent when a shard is shedding
