Feature: Randomised searches in virtual time

  Guards against lost, duplicated and mixed records, missed deadlines and violated
  invariants when one or two faults occur at once, and against load balancing that is no
  better than a plain fan-out.

  Scenario: Seeded runs and a model of one service
    Guards against faults that do harm only in combination, against a straggler that
    makes answers late or is avoided with too many requests, and against load reports
    that mislead the load balancer.
    Then the runs with seeds 1 to 5 find no problem
    And with one straggler p99 is at most a third of plain fan-out with 5 percent more requests
    And wrong and frozen load reports raise p99 of the cost policy at most 1.25 times
