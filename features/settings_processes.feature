Feature: Accepted settings hold everywhere, as processes

  Guards against accepted changes that are lost, differ between instances or are
  reverted after leaders crash or freeze, disks are lost and all instances restart.

  Scenario: A change reaches every instance within 11 s
    Given 5 entry instances of which 3 vote
    When an operator sets "search.deadline" to "200ms" at "/kallioniemi" through instance 5
    Then the revision is in force at every instance within 11 s
    And every instance reads "search.deadline" as "200ms" at "/kallioniemi/invoices"

  Scenario: Changes go on and none is lost while the leader is killed
    Given 5 entry instances of which 3 vote
    When operators make 30 changes and the leader is killed after 10
    Then every accepted change is in force at every running instance

  Scenario: A frozen leader is replaced and never leads with old settings
    Given 3 entry instances of which 3 vote
    When the leader is frozen until another one accepts a change
    Then the former leader has the change in force after it goes on

  Scenario: A voter that lost its disk votes again and a second loss is survived
    Given 4 entry instances of which 3 vote
    When operators make 5 changes and a voter loses its disk and restarts
    And another voter is killed
    Then operators can make 3 more changes
    And every accepted change is in force at every running instance

  Scenario: Two operators race with the same base
    Given 3 entry instances of which 3 vote
    When two operators change the same base through different instances
    Then one change is accepted and the other gets a conflict that names the winner

  Scenario: Everything restarts after hundreds of changes
    Given 4 entry instances of which 3 vote
    When operators make 300 changes and everything is killed and restarted
    Then every accepted change is in force at every running instance
    And operators can make 3 more changes
