Feature: Accepted settings are in force in all processes of a cluster

  Guards against accepted changes that are lost, differ between instances or are
  reverted after leaders crash or are paused, disks are lost and all instances restart.

  Scenario: A change reaches every instance within 11 s
    Guards against an instance without a vote that never receives a change, or that
    cannot forward one.
    Given 5 entry instances of which 3 are voters
    When an operator sets "search.deadline" to "200ms" at "/kallioniemi" through instance 5
    Then the revision is in force at every instance within 11 s
    And every instance reads "search.deadline" as "200ms" at "/kallioniemi/invoices"

  Scenario: No accepted change is lost when the leader is killed
    Guards against changes that only the killed leader knew, and against a cluster that
    accepts no change afterwards.
    Given 5 entry instances of which 3 are voters
    When operators make 30 changes and the leader is killed after 10
    Then every accepted change is in force at every running instance

  Scenario: A paused leader is replaced and does not continue with old settings
    Guards against a former leader that keeps its old settings in force when it resumes.
    Given 3 entry instances of which 3 are voters
    When the leader is paused until another instance accepts a change
    Then the former leader has the change in force after it resumes

  Scenario: A voter that lost its disk votes again, and a second loss is tolerated
    Guards against a voter set that counts a voter without a log, which leaves too few
    voters when another one fails.
    Given 4 entry instances of which 3 are voters
    When operators make 5 changes and a voter loses its disk and restarts
    And another voter is killed
    Then operators can make 3 more changes
    And every accepted change is in force at every running instance

  Scenario: Two operators make changes with the same base at the same time
    Guards against two accepted changes of which one overwrites the other unseen.
    Given 3 entry instances of which 3 are voters
    When two operators change the same base through different instances
    Then one change is accepted and the other gets a conflict that names the winner

  Scenario: All instances restart after hundreds of changes
    Guards against changes that are lost when no process holds them in memory any more.
    Given 4 entry instances of which 3 are voters
    When operators make 300 changes and all instances are killed and restarted
    Then every accepted change is in force at every running instance
    And operators can make 3 more changes
