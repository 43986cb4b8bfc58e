Feature: Ownership of replicas while instances and targets fail

  Several instances share replicas in virtual time. The fake replicas count the
  slots and connections in use. `tools/ownership_runs.py` runs more seeds for
  longer.

  Scenario Outline: No invariant is violated under random faults
    Guards against limits that several owners exceed together, lost or duplicated
    outcomes and work for targets that have left, while processes and links fail at
    random.
    When the ownership simulation runs with seed <seed> and 8 s of faults
    Then no invariant is violated and 1000 requests were answered

    Examples:
      | seed |
      | 3    |
      | 11   |
      | 27   |

  Scenario: The simulation detects an owner that ignores its lease
    Guards against a simulation that finds no problem even if ownership is not enforced.
    When up to 4 seeds run with isolated instances that ignore their lease
    Then more slots in use than a replica allows are reported

  Scenario: Work and cancellations are forwarded to the owner
    Guards against cancelled work that keeps its slot at the replica, including work
    whose cancellation was sent at the same time.
    When an instance that is not the owner sends two searches and cancels one of them
    Then the other search succeeded and no slot remains in use
    And a cancellation coalesced with its search is sent after it

  Scenario: An owner with an outdated live list does not take a replica back
    Guards against two instances that both use the full quota of a replica, because the
    former owner has not received the newest live list yet.
    When an owner releases a replica to a claimer that is not on its live list
    Then the owner uses no slot of the replica for the rest of its lease

  Scenario: A replica that was released can be owned again
    Guards against a pool that was drained on release and then refuses all jobs when the
    instance owns the replica again.
    When a replica is released during a job and gets another job later
    Then both jobs succeeded

  Scenario: A replica that answers requests stays usable without announcements
    Guards against the loss of replicas that serve requests but whose announcements
    reach no entry instance.
    Given a directory with a ready target that announced itself 4 s ago
    Then the target is not usable
    But it is usable if an exchange succeeded 1 s ago

  Scenario: An instance that was paused does not expire its targets at once
    Guards against an instance that drops all targets when it resumes, because it could
    not read their announcements during the pause.
    Given a directory with a ready target that announced itself before a pause of 30 s
    Then the target is usable for 3 s after the pause
    And the target is not usable 4 s after the pause

  Scenario: Refused relayed announcements are counted
    Guards against contradictory announcements that go unnoticed.
    When an announcement is relayed twice
    Then one stale relayed announcement was counted

  Scenario: Replicas of one shard have different owners
    Guards against a shard that is unavailable after the loss of one instance, although
    its replicas are still running.
    Then the replicas of a shard have as many owners as replicas and instances permit
    And the owner of the n-th replica is among the first n instances of its ranking
