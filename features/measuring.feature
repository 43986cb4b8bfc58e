Feature: Measuring tools

  Guards against figures that are better than what callers saw, and against a capacity
  page whose figures do not follow from the measured slopes.

  Scenario: A stall shows in the percentiles
    Guards against coordinated omission: latencies that are counted from the time at which
    a delayed request is sent instead of its planned time.
    Given 100 requests a second for 10 s from one caller
    When one request stalls for 1 s and every other takes 1 ms
    Then p99 is at least 800 ms
    And p50 is below 50 ms
    And every planned request is recorded

  Scenario: Extra sub-requests are counted over the queries that ran
    Given 100 answers over 10 shards and 20 refusals as not run
    When 1050 sub-requests were counted
    Then 1.05 times the least possible number of sub-requests is reported

  Scenario: Unequal shares of members show in the spread
    Given two members that each asked 100 times
    When one got 100 answers and the other 90
    Then the spread is 0.1053

  Scenario: The fit of a slope finds a line and reports a residual where there is none
    Then points on a line give slope 3, intercept 2 and residual 0
    And points on a square give a residual above 0.1

  Scenario: The capacity page follows from its slopes
    Given a copy of the capacity page and its slopes
    Then the page check passes

  Scenario: A figure that was edited by hand is detected
    Given a copy of the capacity page and its slopes
    When a figure in a table of the page is edited
    Then the page check fails

  Scenario: A slope that was measured again is detected
    Given a copy of the capacity page and its slopes
    When a slope is doubled
    Then the page check fails
