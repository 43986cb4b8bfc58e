Feature: What the owner of a replica does with it

  Runs in virtual time against a fake replica that counts slots and connections.

  Scenario: A job that cannot be served in time is refused before anything is sent
    # Guards against a queue that grows until every job misses its deadline.
    Given a pool over a replica with 2 slots and 25 connections
    When 40 jobs of 100 ms with 330 ms left are submitted after 2 warm ones
    Then every job has one outcome
    And some jobs failed with "overloaded" within 1 ms
    And no job failed with "deadline_passed"

  Scenario: Slots and connections stay within the limits
    # Guards against a pool that opens connections or starts work without bound.
    Given a pool over a replica with 2 slots and 3 connections
    When 30 jobs are submitted at once and a third of them is cancelled
    Then every job that was not cancelled has one outcome
    And the replica never saw more than its limits

  Scenario: A cancelled job closes its connection and frees its slot
    # Guards against slots that leak when a hedge loses.
    Given a pool over a replica with 1 slots and 4 connections
    When a job of 10 s is cancelled after 50 ms and another is submitted
    Then only the other job has an outcome, and it succeeded
    And 1 connections of the replica were closed

  Scenario: A cold target gets a rising share of its slots
    # Guards against a cold target that is hit with full load at once.
    Given a pool over a replica with 5 slots and 40 connections that just started
    When it is saturated for 12 s
    Then it used at most 1 slots in the first 2 s and 5 slots at the end

  Scenario: A shed reply halves the slots, which grow back one a second
    # Guards against an owner that keeps overloading a shedding target.
    Given a pool over a replica with 4 slots and 40 connections
    When one job is shed and then the pool is saturated for 4 s
    Then it used at most 2 slots in the first 1 s and 4 slots at the end

  Scenario: A leaving target finishes its work and gets no more
    # Guards against new work for a target that announced that it leaves.
    Given a pool over a replica with 2 slots and 25 connections
    When the target says it is leaving while a job runs and one waits
    Then the running job succeeded and later ones failed with "draining"
    And the replica has no open connection

  Scenario Outline: Silence on a reused connection
    # Guards against blaming a replica for a dead connection, and the reverse.
    Given a pool over a replica with 2 slots and 25 connections
    When <silent> connections go silent and a job is submitted
    Then the last job ended with "<outcome>"
    And <closed> connections of the replica were closed

    Examples:
      | silent   | outcome  | closed |
      | existing | ok       | 2      |
      | all      | no_reply | 2      |

  Scenario: A dead idle connection is replaced before it is used
    # Guards against sending work on a connection that the target has closed.
    Given a pool over a replica with 1 slots and 25 connections
    When the target closes the idle connection and 6 s later a job is submitted
    Then the last job ended with "ok"
    And 1 connections of the replica were closed

  Scenario Outline: A non-idempotent request is never sent again
    # Guards against a second execution after an uncertain first one.
    Given a pool over a replica with 2 slots and 25 connections
    When an execution meets <fault>
    Then its outcome is "<outcome>" and <proof> that it did not run

    Examples:
      | fault                | outcome           | proof     |
      | no fault             | ok                | no proof  |
      | a silent connection  | no_reply          | no proof  |
      | a refused connection | connect_failed    | proof     |
      | a shedding target    | refused_by_target | proof     |

  Scenario: Closing a pool ends every job
    # Guards against queries that wait for a target that has restarted.
    Given a pool over a replica with 2 slots and 25 connections
    When 6 jobs of 10 s are submitted and the pool closes
    Then every job has one outcome
    And the replica has no open connection

  Scenario: A crossed reply ends its connection
    # Guards against reading the reply to one request as that to the next.
    Given a pool over a replica with 1 slots and 25 connections
    When a reply names another request and two more jobs are submitted
    Then the last job ended with "ok"
    And 1 connections of the replica were closed

  Scenario Outline: Broken rules are reported
    # Guards against invariant checks that never fire.
    Given a pool that breaks the rule "<rule>"
    When it runs 6 jobs
    Then the violation "<rule>" was reported

    Examples:
      | rule           |
      | limit_exceeded |
      | foreign_reply  |
      | sent_twice     |
