Feature: The replica directory holds the newest notice of each replica

  Scenario: A delayed notice is older than the stored one
    Guards against a delayed heartbeat that makes a draining replica usable again.
    Given the notices "r1 ready born 10 sequence 5" and "r1 draining born 10 sequence 6"
    When "r1 ready born 10 sequence 4" arrives
    Then no replica is usable

  Scenario: A notice is repeated to another instance
    Guards against a replica that expires although it repeats its notice to another
    instance.
    Given the notice "r1 ready born 10 sequence 5"
    When 5 seconds pass
    And another instance reports that "r1 ready born 10 sequence 9" was repeated
    And 5 seconds pass
    Then r1 is usable

  Scenario: A notice that this instance missed is repeated
    Guards against a draining replica that still counts as ready. The short message that
    reports a repeated notice must not raise the stored sequence, or no digest would
    reveal that the change is missing here.
    Given the notice "r1 ready born 10 sequence 5"
    When another instance reports that "r1 draining born 10 sequence 9" was repeated
    And "r1 draining born 10 sequence 8" arrives
    Then no replica is usable

  Scenario: A replica restarts under the same id
    Guards against notices of a new run that are ignored because their sequence starts
    from the beginning.
    Given the notices "r1 ready born 10 sequence 500" and "r1 ready born 20 sequence 1"
    Then r1 is usable

  Scenario: A replica that left is not restored by a notice of the same run
    Guards against a heartbeat that is in flight during the deregistration.
    Given the notice "r1 ready born 10 sequence 5"
    And r1 has left
    When "r1 ready born 10 sequence 9" arrives
    Then no replica is usable

  Scenario: A replica that left comes back as a new run
    Guards against a tombstone that also blocks later runs.
    Given the notice "r1 ready born 10 sequence 5"
    And r1 has left
    When "r1 ready born 11 sequence 1" arrives
    Then r1 is usable

  Scenario: Another replica takes over an address
    Guards against requests to a replica whose address now belongs to another replica,
    possibly of another service.
    Given the notice "r1 ready born 10 sequence 5 port 77"
    When "r2 ready born 20 sequence 1 port 77" arrives
    Then r2 is usable and r1 is not

  Scenario: A notice of an ended run arrives after its address was taken over
    Guards against a heartbeat that a network partition has delayed.
    Given the notice "r2 ready born 20 sequence 1 port 77"
    When "r1 ready born 10 sequence 9 port 77" arrives
    Then r2 is usable and r1 is not

  Scenario: A replica stops sending notices
    Guards against requests to a replica that crashed and did not deregister.
    Given the notice "r1 ready born 10 sequence 5"
    When 8 seconds pass
    Then no replica is usable
    When 300 seconds pass
    Then r1 is removed

  Scenario: Instances compare their directories
    Guards against a lost notice that is never sent again.
    Given the notices "r1 ready born 10 sequence 5" and "r2 draining born 10 sequence 3"
    When another instance holds "r1 ready born 10 sequence 6" and "r2 ready born 10 sequence 2"
    Then only r2 is newer in this directory

  Scenario: A replica states in a response that it is leaving
    Guards against a late notice of the same run that makes the replica usable again.
    Given the notice "r1 ready born 10 sequence 5"
    When r1 states in a response of the run born 10 that it is leaving
    And "r1 ready born 10 sequence 9" arrives
    Then no replica is usable
    When "r1 ready born 20 sequence 1" arrives
    Then r1 is usable

  Scenario: A replica was leaving before it restarted
    Guards against a new run that is not used because of a late answer of the old one.
    Given the notice "r1 ready born 20 sequence 1"
    When r1 states in a response of the run born 10 that it is leaving
    Then r1 is usable
