Feature: Tools that measure

  Guards against figures that look better than what callers saw, and against a capacity
  page that does not follow from its slopes.

  Scenario: A stall shows in the percentiles
    Given 100 requests a second for 10 s from one caller
    When one request stalls for 1 s and every other takes 1 ms
    Then p99 is at least 800 ms
    And p50 is below 50 ms
    And every planned request is recorded

  Scenario: Extra sub-requests are counted over the queries that ran
    Given 100 answers over 10 shards and 20 refusals as not run
    When 1050 sub-requests were counted
    Then the sub-requests are 1.05 times the least possible

  Scenario: A member without its share shows in the spread
    Given two members that each asked 100 times
    When one got 100 answers and the other 90
    Then the spread is 0.1053

  Scenario: The fit of a slope finds the line and shows where there is none
    Then points on a line give slope 3, intercept 2 and residual 0
    And points on a square give a residual above 0.1

  Scenario: The capacity page follows from its slopes
    Given a copy of the capacity page and its slopes
    Then the check of the page passes

  Scenario: A figure edited by hand is found
    Given a copy of the capacity page and its slopes
    When a figure in a table of the page is edited
    Then the check of the page fails

  Scenario: A slope that was measured again is found
    Given a copy of the capacity page and its slopes
    When a slope is doubled
    Then the check of the page fails
