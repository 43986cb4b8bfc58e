Feature: Workspaces stay within their quotas across all instances

  Fleets of instances serve callers in virtual time, at the first deployment's load: 79
  workspaces of skewed sizes and 60 requests per second. Every window of 5 s is checked
  against the quotas, over all instances, whether they were connected or not.

  Scenario Outline: A hot workspace in calm
    Guards against a hot workspace that takes more than its quota or gets less, against
    refusals of the other workspaces, and against instances that the leader's answers do
    not reach because only relays exchange messages with it.
    Given 78 instances, of which <listed> are listed, connected <connected>
    And workspace w2 sends <factor> times its usual rate
    When callers are served for 30 s
    Then no workspace exceeds its quota in any window under one leader
    And only workspace w2 is refused, always within a quarter of the target latency
    And workspace w2 got its whole quota

    Examples:
      | listed | factor | connected      |
      | 6      | 5      | directly       |
      | 6      | 7.5    | through relays |
      | 78     | 7.5    | through relays |

  Scenario: Many requests per round trip
    Guards against refusals below the quota while several requests of a workspace are on
    their way to the leader.
    Given 20 instances, of which 6 are listed, connected directly
    And the usual rate is 6000 requests per second
    When callers are served for 4 s
    Then no workspace exceeds its quota in any window under one leader
    And no request was refused

  Scenario: Half of the requests are not run
    Guards against workspaces that lose their quota to requests that no replica accepted.
    Given 78 instances, of which 6 are listed, connected directly
    And workspace w2 sends 7.5 times its usual rate
    And no replica accepts 50 percent of the requests
    When callers are served for 30 s
    Then no workspace exceeds its quota in any window under one leader
    And only workspace w2 is refused, always within a quarter of the target latency
    And workspace w2 got its whole quota

  Scenario Outline: A hot workspace while the fleet is in trouble
    Guards against credit that is spent twice: by two leaders, by instances that cannot
    be heard or by both sides of a cut, by earlier runs of instances, or by repeated and
    lost messages.
    Given <size> instances, of which <listed> are listed, connected <connected>
    And workspaces w0, w2 and w40 are hot, 10 percent of the messages are lost
    And no replica accepts 30 percent of the requests
    When callers are served for 40 s while <trouble>
    Then no workspace exceeds its quota in any window
    And each refusal came within a quarter of the target latency

    Examples:
      | size | listed | connected      | trouble                                        |
      | 78   | 6      | through relays | the leader is lost every 7 s                   |
      | 78   | 6      | directly       | pairs of instances are cut off for 8 s each    |
      | 20   | 20     | directly       | the leader is cut off with a minority for 7 s at a time |
      | 20   | 20     | directly       | a listed instance restarts each second         |
      | 78   | 6      | directly       | all of this happens                            |
      | 20   | 20     | through relays | all of this happens                            |

  Scenario: A listed instance is cut off
    Guards against a cut-off instance that goes on to admit requests.
    Given 20 instances, of which 6 are listed, connected directly
    And workspace w2 sends 7.5 times its usual rate
    When callers are served for 40 s while one listed instance is cut off after 20 s
    Then no workspace exceeds its quota in any window under one leader
    And the cut-off instance has run no more than its debt limits

  Scenario: All quotas are lowered to a fifth
    Guards against credit and debt limits of a quota that is no longer in force.
    Given 20 instances, of which 6 are listed, connected directly
    And workspaces w0, w2 and w40 are hot, 10 percent of the messages are lost
    When callers are served for 40 s while the quotas are lowered after 20 s
    Then no workspace exceeds its quota in any window

  Scenario: Workspaces without a quota
    Guards against messages and refusals that no quota calls for.
    Given 6 instances, of which 6 are listed, connected directly
    And the workspaces have no quota
    When callers are served for 5 s
    Then no message was sent and no request refused

  Scenario: The leader runs an earlier version
    Guards against a rolling update during which requests are refused because the leader
    cannot confirm quotas.
    Given 6 instances, of which 6 are listed, connected directly
    And the leader's heartbeats are those of an earlier version
    When callers are served for 5 s
    Then no message was sent and no request refused

  Scenario: The leader does not have the newest document
    Guards against an instance that repeats its report without a pause, because the
    leader has no quota of the workspace to answer for.
    Given 2 instances, of which 2 are listed, connected directly
    And the leader does not know the workspaces
    When callers are served for 2 s
    Then fewer than 50 reports per second and instance were sent

  Scenario: Workspaces leave the document and come back
    Guards against counts of use that begin again while the leader has the earlier ones,
    so that nothing is charged until they are reached.
    Given 6 instances, of which 6 are listed, connected directly
    When callers are served for 45 s while the workspaces leave for 1 s after 20 s
    Then no workspace exceeds its quota in any window under one leader

  Scenario: Credit at a new leader
    Guards against credit that the leader before may have spent, claims that are charged
    or granted twice because a message was lost, and grants beyond the credit.
    Given a new leader's credit for a quota of 10 per second, burst 5
    When a claims 50 used, 49 confirmed and 0 wanted
    Then 0 are granted, the debt limit is 0 and the level 1
    When a claims 50 used, 49 confirmed and 0 wanted
    Then 0 are granted, the debt limit is 0 and the level 1
    When 20 seconds of credit pass
    And b claims 0 used, 0 confirmed and 12 wanted
    Then 9 are granted, the debt limit is 0 and the level 0.5
    When 0.5 seconds of credit pass
    And b claims 0 used, 0 confirmed and 12 wanted
    Then 12 are granted, the debt limit is 6 and the level 2.5
    When it loses and regains the lead
    And a claims 52 used, 50 confirmed and 0 wanted
    Then 0 are granted, the debt limit is 0 and the level 0

  Scenario: Debt limits of instances that replace each other
    Guards against debts that exceed half of the tolerance, 12.75 requests, in a window,
    because the leader no longer hears some of the instances that have a debt limit.
    Given a new leader's credit for a quota of 10 per second, burst 5
    When 10 seconds of credit pass
    And a claims 0 used, 0 confirmed and 0 wanted
    Then 0 are granted, the debt limit is 0 and the level 9.5
    When 1 seconds of credit pass
    And a claims 0 used, 0 confirmed and 0 wanted
    Then 0 are granted, the debt limit is 6 and the level 9.5
    When b claims 0 used, 0 confirmed and 0 wanted
    Then 0 are granted, the debt limit is 6 and the level 9.5
    When 10 seconds of credit pass
    And c claims 0 used, 0 confirmed and 0 wanted
    Then 0 are granted, the debt limit is 0 and the level 9.5
    When 1 seconds of credit pass
    And c claims 0 used, 0 confirmed and 0 wanted
    Then 0 are granted, the debt limit is 6 and the level 9.5

  Scenario: Debt limits end with their window
    Guards against a cut-off instance that keeps a debt limit which the leader has given
    to another one.
    Given a workspace with a quota of 10 per second that is used up for 0 s
    Then a debt limit that it reported for at 0 s holds until 5 s

  Scenario: Refused callers return one after another
    Guards against refused callers that all return at the same time.
    Given a workspace with a quota of 10 per second that is used up for 2 s
    When 12 callers are refused at the same time by one of 4 instances
    Then each is asked to return 400 ms after the one before
    And none is asked to return before 2 s or after 7 s have passed

  Scenario: The time of a request that waited for the leader
    Guards against answers after the caller's deadline, because the time that a request
    waited for a grant was not counted.
    When a caller waits 500 ms for a route of 800 ms, after 30 ms 470 ms are left
    And a caller waits 0 ms for a route of 800 ms, after 30 ms 770 ms are left

  Scenario: Responses to callers over their quota
    Guards against callers that take a refusal for a failure, or one kind for the other.
    When the quota is used up for 1500 ms, the response is 429 with Retry-After 1.50
    And the quota cannot be confirmed for 200 ms, the response is 503 with Retry-After 0.20

  Scenario Outline: An instance is suspended while a request waits for the leader
    Guards against a request that is run after its caller has stopped waiting: a time left
    of 0 was taken for no limit.
    When a request with 400 ms left waits <waited> ms for the quota of its workspace
    Then the request is <outcome>

    Examples:
      | waited | outcome                                     |
      | 300    | sent to a replica with 100 ms left          |
      | 400    | refused as not run and not sent to a replica |
      | 2000   | refused as not run and not sent to a replica |
