Feature: The pool of connections and slots of an owned replica

  Runs in virtual time against a fake replica that counts the slots and connections in
  use. The steps of a scenario record actions, which run in order when its first outcome
  is checked.

  Scenario: A job that cannot be served in time is refused before it is sent
    Guards against a queue that grows until every job misses its deadline.
    Given a pool over a replica with 2 slots and 25 connections
    When 2 jobs of 100 ms are submitted with 1000 ms left
    And 500 ms pass
    And 40 jobs of 100 ms are submitted with 330 ms left
    And 2000 ms pass
    Then every job ended with one of "ok overloaded"
    And the jobs that ended with "overloaded" were refused at once

  Scenario: Slots and connections stay within the limits
    Guards against a pool that opens connections or starts jobs without a limit.
    Given a pool over a replica with 2 slots and 3 connections
    When 6 jobs of 50 ms are submitted with 1000 ms left
    And 20 ms pass
    And job 0 is cancelled
    And job 3 is cancelled
    And 1000 ms pass
    Then the outcomes are "none ok ok none ok ok"
    And the replica never exceeded its limits

  Scenario: A cancelled job closes its connection and frees its slot
    Guards against slots that stay occupied when a hedge or its first attempt is
    cancelled.
    Given a pool over a replica with 1 slots and 4 connections
    When 1 jobs of 10000 ms are submitted with 30000 ms left
    And 50 ms pass
    And job 0 is cancelled
    And 1 jobs of 10 ms are submitted with 1000 ms left
    And 1000 ms pass
    Then the outcomes are "none ok"
    And 1 connections of the replica were closed

  Scenario: A target that has just started gets an increasing number of slots
    Guards against a target that gets full load immediately after its start.
    Given a pool over a replica with 5 slots and 40 connections
    And the replica has just started
    When the pool is saturated for 12 s
    Then at most 1 slots were in use in the first 2 s and 5 slots at the end

  Scenario: A shed reply halves the slots, which then increase by one a second
    Guards against an owner that continues to overload a target which sheds load.
    Given a pool over a replica with 4 slots and 40 connections
    When the replica is shedding
    And 1 jobs of 10 ms are submitted with 1000 ms left
    And 50 ms pass
    And the replica is no longer shedding
    And the pool is saturated for 4 s
    Then at most 2 slots were in use in the first 1 s and 4 slots at the end

  Scenario: A leaving target finishes its work and gets no new work
    Guards against new requests to a target that has announced that it is leaving.
    Given a pool over a replica with 2 slots and 25 connections
    When 3 jobs of 200 ms are submitted with 1000 ms left
    And 50 ms pass
    And the target announces that it is leaving
    And 1 jobs of 200 ms are submitted with 1000 ms left
    And 1000 ms pass
    Then the outcomes are "ok ok refused_by_target refused_by_target"
    And 2 connections of the replica were closed

  Scenario: A new owner sends nothing to a target that is already leaving
    Guards against work for a target whose first announcement at a new owner already
    says that it is leaving.
    Given a pool over a replica with 2 slots and 25 connections
    And the target has already announced that it is leaving
    When 1 jobs of 10 ms are submitted with 1000 ms left
    And 100 ms pass
    Then the outcomes are "refused_by_target"

  Scenario Outline: Silence on a reused connection
    Guards against a replica that counts as failed because a pooled connection is
    dead, and against a frozen replica whose failure is attributed to the connection.
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

  Scenario: A late reply is awaited if the retry budget is exhausted
    Guards against a request that is given up after a silence although no second attempt
    can replace it.
    Given a pool over a replica with 2 slots and 25 connections
    And the retry budget is exhausted
    When 2 jobs of 10 ms are submitted with 1000 ms left
    And 500 ms pass
    And 1 jobs of 700 ms are submitted with 1000 ms left
    And 2000 ms pass
    Then the outcomes are "ok ok ok"

  Scenario: A dead idle connection is replaced before it is used
    Guards against a job that is sent on a connection which the target has closed.
    Given a pool over a replica with 1 slots and 25 connections
    When 1 jobs of 10 ms are submitted with 1000 ms left
    And 500 ms pass
    And the target closes the open connections
    And 6000 ms pass
    And 1 jobs of 10 ms are submitted with 1000 ms left
    And 1000 ms pass
    Then the outcomes are "ok ok"
    And 1 connections of the replica were closed

  Scenario Outline: A non-idempotent request is not repeated
    Guards against a second execution when it is unknown whether the first one ran.
    Given a pool over a replica with 2 slots and 25 connections
    When 1 jobs of 10 ms are submitted with 1000 ms left
    And 500 ms pass
    And <fault>
    And an execution is submitted
    And 2000 ms pass
    Then the outcomes are "ok <outcome>"
    And the last outcome is <proof> that the request did not run

    Examples:
      | fault                              | outcome           | proof    |
      | 1 ms pass                          | ok                | no proof |
      | the open connections go silent     | no_reply          | no proof |
      | the target restarts                | connect_failed    | proof    |
      | the replica is shedding            | refused_by_target | proof    |

  Scenario: Closing a pool ends every job
    Guards against jobs that wait for a replica whose pool was closed, for example
    because the target has restarted.
    Given a pool over a replica with 1 slots and 25 connections
    When 3 jobs of 10000 ms are submitted with 30000 ms left
    And 50 ms pass
    And the pool closes
    And 50 ms pass
    Then the outcomes are "connection_lost connect_failed connect_failed"
    And 1 connections of the replica were closed

  Scenario: A reply to another request closes its connection
    Guards against a reply that is taken for the reply to the next request on the
    connection.
    Given a pool over a replica with 1 slots and 25 connections
    When the replica sends mismatched replies
    And 1 jobs of 10 ms are submitted with 1000 ms left
    And 200 ms pass
    And the replica no longer sends mismatched replies
    And 2 jobs of 10 ms are submitted with 1000 ms left
    And 1000 ms pass
    Then the outcomes are "wrong_reply ok ok"
    And 1 connections of the replica were closed

  Scenario Outline: Violated invariants are reported
    Guards against invariant checks that never fire.
    Given a pool that violates the invariant "<violation>"
    When 6 jobs of 10 ms are submitted with 1000 ms left
    And 1000 ms pass
    And the open connections go silent
    And an execution is submitted
    And 2000 ms pass
    Then the violation "<violation>" was reported

    Examples:
      | violation      |
      | limit_exceeded |
      | foreign_reply  |
      | sent_twice     |
