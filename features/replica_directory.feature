Feature: Announced replicas are known as they last were

  Scenario: A late notice is older than the one held
    Guards against a delayed heartbeat that brings a draining replica back.
    Given the notices "r1 ready born 10 number 5" and "r1 draining born 10 number 6"
    When "r1 ready born 10 number 4" arrives
    Then no replica is usable

  Scenario: A notice is repeated
    Guards against a replica that counts as silent though it repeats its notice to
    another instance.
    Given the notice "r1 ready born 10 number 5"
    When 5 seconds pass
    And another instance tells that "r1 ready born 10 number 9" was repeated
    And 5 seconds pass
    Then r1 is usable

  Scenario: A notice that was missed here is repeated
    Guards against a draining replica that is taken for the ready one that it was: the
    short message must not raise the sequence, or no digest would bring the change.
    Given the notice "r1 ready born 10 number 5"
    When another instance tells that "r1 draining born 10 number 9" was repeated
    And "r1 draining born 10 number 8" arrives
    Then no replica is usable

  Scenario: A replica restarts under its id
    Guards against a new run whose counts start anew and seem old.
    Given the notices "r1 ready born 10 number 500" and "r1 ready born 20 number 1"
    Then r1 is usable

  Scenario: A replica that left is not brought back by its own run
    Guards against a heartbeat that crosses the deregistration.
    Given the notice "r1 ready born 10 number 5"
    And r1 left
    When "r1 ready born 10 number 9" arrives
    Then no replica is usable

  Scenario: A replica that left comes back as a new run
    Guards against a tombstone that holds for ever.
    Given the notice "r1 ready born 10 number 5"
    And r1 left
    When "r1 ready born 11 number 1" arrives
    Then r1 is usable

  Scenario: An address is taken over
    Guards against work for a replica whose address belongs to another service now.
    Given the notice "r1 ready born 10 number 5 port 77"
    When "r2 ready born 20 number 1 port 77" arrives
    Then r2 is usable and r1 is not

  Scenario: A notice of a dead run arrives after its address was taken over
    Guards against a heartbeat that a partition delayed.
    Given the notice "r2 ready born 20 number 1 port 77"
    When "r1 ready born 10 number 9 port 77" arrives
    Then r2 is usable and r1 is not

  Scenario: A replica falls silent
    Guards against work for a replica that crashed without a word.
    Given the notice "r1 ready born 10 number 5"
    When 8 seconds pass
    Then no replica is usable
    When 300 seconds pass
    Then r1 is forgotten

  Scenario: Instances compare what they hold
    Guards against a lost notice that is never repaired.
    Given the notices "r1 ready born 10 number 5" and "r2 draining born 10 number 3"
    When another instance holds "r1 ready born 10 number 6" and "r2 ready born 10 number 2"
    Then only r2 is newer here
