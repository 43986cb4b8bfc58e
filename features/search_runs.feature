Feature: Randomised searches in virtual time

  Guards against lost, doubled and mixed records, missed deadlines and broken rules when
  one or two faults occur at once; and against a choice of replicas that is no better
  than plain fan-out.

  Scenario: Seeded runs find no problem
    Then the runs with seeds 1 to 5 find no problem

  Scenario: One straggler costs little
    When a model with one straggler runs "plain" and the default way
    Then p99 is at most a third with at most 5 percent extra sub-requests

  Scenario: Wrong load reports cost little
    When a model with true, wrong and frozen reports runs the cost policy
    Then p99 is at most 1.25 times that with true reports
