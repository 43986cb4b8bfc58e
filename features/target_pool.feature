Feature: What the owner of a replica does with it

  Runs in virtual time against a fake replica that counts slots and connections. The
  actions of a scenario run one after the other when its first outcome is checked.

  Scenario: A job that cannot be served in time is refused before anything is sent
    # Guards against a queue that grows until every job misses its deadline.
    Given a pool over a replica with 2 slots and 25 connections
    When 2 jobs of 100 ms are submitted with 1000 ms left
    And 500 ms pass
    And 40 jobs of 100 ms are submitted with 330 ms left
    And 2000 ms pass
    Then every job ended with one of "ok overloaded"
    And the jobs that ended with "overloaded" took no time

  Scenario: Slots and connections stay within the limits
    # Guards against a pool that opens connections or starts work without bound.
    Given a pool over a replica with 2 slots and 3 connections
    When 6 jobs of 50 ms are submitted with 1000 ms left
    And 20 ms pass
    And job 0 is cancelled
    And job 3 is cancelled
    And 1000 ms pass
    Then the outcomes are "none ok ok none ok ok"
    And the replica never saw more than its limits

  Scenario: A cancelled job closes its connection and frees its slot
    # Guards against slots that leak when a hedge loses.
    Given a pool over a replica with 1 slots and 4 connections
    When 1 jobs of 10000 ms are submitted with 30000 ms left
    And 50 ms pass
    And job 0 is cancelled
    And 1 jobs of 10 ms are submitted with 1000 ms left
    And 1000 ms pass
    Then the outcomes are "none ok"
    And 1 connections of the replica were closed

  Scenario: A cold target gets a rising share of its slots
    # Guards against a cold target that is hit with full load at once.
    Given a pool over a replica with 5 slots and 40 connections
    And the replica has just started
    When the pool is saturated for 12 s
    Then it used at most 1 slots in the first 2 s and 5 slots at the end

  Scenario: A shed reply halves the slots, which grow back one a second
    # Guards against an owner that keeps overloading a shedding target.
    Given a pool over a replica with 4 slots and 40 connections
    When the replica is shedding
    And 1 jobs of 10 ms are submitted with 1000 ms left
    And 50 ms pass
    And the replica is no longer shedding
    And the pool is saturated for 4 s
    Then it used at most 2 slots in the first 1 s and 4 slots at the end

  Scenario: A leaving target finishes its work and gets no more
    # Guards against new work for a target that announced that it leaves.
    Given a pool over a replica with 2 slots and 25 connections
    When 3 jobs of 200 ms are submitted with 1000 ms left
    And 50 ms pass
    And the target says that it is leaving
    And 1 jobs of 200 ms are submitted with 1000 ms left
    And 1000 ms pass
    Then the outcomes are "ok ok refused_by_target refused_by_target"
    And 2 connections of the replica were closed

  Scenario: A new owner sends nothing to a target that is already leaving
    # Guards against an owner that learns of a target only after its leaving notice.
    Given a pool over a replica with 2 slots and 25 connections
    And the target said that it is leaving before
    When 1 jobs of 10 ms are submitted with 1000 ms left
    And 100 ms pass
    Then the outcomes are "refused_by_target"

  Scenario Outline: Silence on a reused connection
    # Guards against blaming a replica for a dead connection, and the reverse.
    Given a pool over a replica with 2 slots and 25 connections
    When 2 jobs of 10 ms are submitted with 1000 ms left
    And 500 ms pass
    And the open connections go silent
    And the replica is <state>
    And 1 jobs of 10 ms are submitted with 1000 ms left
    And 2000 ms pass
    Then the outcomes are "ok ok <outcome>"
    And 2 connections of the replica were closed

    Examples:
      | state            | outcome  |
      | no longer frozen | ok       |
      | frozen           | no_reply |

  Scenario: Without a budget a late reply is waited for
    # Guards against giving up a request after silence that nothing can replace.
    Given a pool over a replica with 2 slots and 25 connections
    And the budget of second attempts is used up
    When 2 jobs of 10 ms are submitted with 1000 ms left
    And 500 ms pass
    And 1 jobs of 700 ms are submitted with 1000 ms left
    And 2000 ms pass
    Then the outcomes are "ok ok ok"

  Scenario: A dead idle connection is replaced before it is used
    # Guards against sending work on a connection that the target has closed.
    Given a pool over a replica with 1 slots and 25 connections
    When 1 jobs of 10 ms are submitted with 1000 ms left
    And 500 ms pass
    And the target closes the open connections
    And 6000 ms pass
    And 1 jobs of 10 ms are submitted with 1000 ms left
    And 1000 ms pass
    Then the outcomes are "ok ok"
    And 1 connections of the replica were closed

  Scenario Outline: A non-idempotent request is never sent again
    # Guards against a second execution after an uncertain first one.
    Given a pool over a replica with 2 slots and 25 connections
    When 1 jobs of 10 ms are submitted with 1000 ms left
    And 500 ms pass
    And <fault>
    And an execution is submitted
    And 2000 ms pass
    Then the outcomes are "ok <outcome>"
    And the last outcome is <proof> that it did not run

    Examples:
      | fault                              | outcome           | proof    |
      | 1 ms pass                          | ok                | no proof |
      | the open connections go silent     | no_reply          | no proof |
      | the target restarts                | connect_failed    | proof    |
      | the replica is shedding            | refused_by_target | proof    |

  Scenario: Closing a pool ends every job
    # Guards against queries that wait for a target that has restarted.
    Given a pool over a replica with 1 slots and 25 connections
    When 3 jobs of 10000 ms are submitted with 30000 ms left
    And 50 ms pass
    And the pool closes
    And 50 ms pass
    Then the outcomes are "connection_lost connect_failed connect_failed"
    And 1 connections of the replica were closed

  Scenario: A crossed reply ends its connection
    # Guards against reading the reply to one request as that to the next.
    Given a pool over a replica with 1 slots and 25 connections
    When the replica is crossing
    And 1 jobs of 10 ms are submitted with 1000 ms left
    And 200 ms pass
    And the replica is no longer crossing
    And 2 jobs of 10 ms are submitted with 1000 ms left
    And 1000 ms pass
    Then the outcomes are "wrong_reply ok ok"
    And 1 connections of the replica were closed

  Scenario Outline: Broken rules are reported
    # Guards against invariant checks that never fire.
    Given a pool that breaks the rule "<rule>"
    When 6 jobs of 10 ms are submitted with 1000 ms left
    And 1000 ms pass
    And the open connections go silent
    And an execution is submitted
    And 2000 ms pass
    Then the violation "<rule>" was reported

    Examples:
      | rule           |
      | limit_exceeded |
      | foreign_reply  |
      | sent_twice     |
