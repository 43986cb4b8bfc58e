Feature: One owner per replica while instances and targets fail

  Several instances share replicas in virtual time; the replicas count slots and
  connections. `tools/ownership_runs.py` runs more seeds for longer.

  Scenario Outline: No rule breaks under random faults
    # Guards against limits exceeded in sum, lost or doubled outcomes, and work for
    # targets that left.
    When seed <seed> runs with 8 s of faults
    Then no rule is broken and 1000 requests were answered

    Examples:
      | seed |
      | 3    |
      | 11   |
      | 27   |

  Scenario: The runs notice an owner that ignores its lease
    # Guards against runs that would pass whatever ownership does.
    When up to 4 seeds run with cut-off instances that ignore their lease
    Then slots above the limit of a replica are reported

  Scenario: Work and cancels reach the owner on a peer
    # Guards against cancelled work that keeps a slot, also when both were sent at once.
    When a peer of the owner sends two searches and cancels one of them
    Then the other search succeeded and no slot stays in use
    And a cancel sent together with its search follows it

  Scenario: An owner with an outdated list does not take a replica back
    # Guards against two full owners when one has not got the newest list yet.
    When an owner releases a replica to a claimer that is not on its list
    Then it uses no slot of the replica for the rest of its lease

  Scenario: A replica that was released can be owned again
    # Guards against a drained pool that refuses all work of its next ownership.
    When a replica is released during a job and gets another job later
    Then both jobs succeeded

  Scenario: A replica in use stays usable without announcements
    # Guards against losing replicas that answer but cannot reach an entry instance.
    Given a directory that heard of a ready target 4 s ago
    Then the target is not usable
    But it is usable after an exchange 1 s ago succeeded

  Scenario: A paused instance does not expire targets at once
    # Guards against an instance that wakes up and drops all targets.
    Given a directory that heard of a ready target before a pause of 30 s
    Then the target is usable for 3 s after the pause
    And the target is not usable 4 s after the pause

  Scenario: Refused relays are counted
    # Guards against contradicting announcements that nobody notices.
    When an announcement is relayed twice
    Then one stale relay was counted

  Scenario: Replicas of one shard have different owners
    # Guards against a shard that is lost with one instance although replicas live.
    Then replicas of one shard have as many owners as there are instances for them
    And the owner of the n-th replica is among the first n of its ranking
