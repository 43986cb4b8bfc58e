Feature: Non-idempotent requests across instance processes

  Guards against a hold (a temporary reservation) that runs twice after its instance
  crashes or after the caller resends it to another instance, against an answer that
  misreports its outcome, and against a hold that runs, or is not refused as not run,
  when the replicated log has no majority.

  Scenario: A resend through another instance gets the first outcome
    Given 3 entry instances and a service of 1 shards with 3 replicas
    When a hold is sent through instance 1 and then through 2 and 3
    Then all answers are the same and the hold ran once

  Scenario: The instance that runs a hold is killed
    Given 3 entry instances and a service of 1 shards with 3 replicas
    When a slow hold is sent through instance 1, which is killed while it runs
    And the hold is sent again through instance 2
    Then the answer does not claim an outcome that differs from the run
    And the hold ran at most once

  Scenario: No majority of voters
    Given 3 entry instances and a service of 1 shards with 3 replicas
    When two of three voters are killed
    And a hold is sent through the remaining voter
    Then the hold is refused as not run and did not run
