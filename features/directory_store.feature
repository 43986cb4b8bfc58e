Feature: The directory of replicas survives a restart of all instances

  Scenario: All instances restart together
    Guards against queries that are refused until each replica has sent its next notice.
    After a power failure of all machines 113 queries were refused in 0.6 s (run
    brassard-lovage, trouble-1).
    Given a saved directory with "r1 ready born 10 sequence 5"
    When the instance restarts after 2 seconds
    Then r1 is usable after the restart
    And r1 is not usable 4 seconds later without a notice
    And r1 is usable again after "r1 ready born 10 sequence 6"

  Scenario: A replica left before the restart
    Guards against a replica that had left and is used again, because a delayed notice
    arrives after the restart of the instance that knew.
    Given a saved directory with "r1 ready born 10 sequence 5"
    And r1 leaves and the directory is saved
    When the instance restarts after 2 seconds
    And "r1 ready born 10 sequence 6" arrives after the restart
    Then r1 is not usable after the restart

  Scenario: A replica had stated that it is leaving
    Guards against the same for a replica whose answers said that it leaves.
    Given a saved directory with "r1 ready born 10 sequence 5"
    And r1 states that it is leaving and the directory is saved
    When the instance restarts after 2 seconds
    And "r1 ready born 10 sequence 6" arrives after the restart
    Then r1 is not usable after the restart

  Scenario: The file is old
    Guards against requests to replicas that were replaced during a long stop.
    Given a saved directory with "r1 ready born 10 sequence 5"
    When the instance restarts after 60 seconds
    Then r1 is not usable after the restart

  Scenario: A replica was draining when the file was saved
    Guards against a draining replica that is used again after a long stop, or a jump of
    the wall clock, because its late notice comes as news.
    Given a saved directory with "r1 ready born 10 sequence 5"
    And "r1 draining born 10 sequence 7" arrives and the directory is saved
    When the instance restarts after 60 seconds
    And "r1 ready born 10 sequence 6" arrives after the restart
    Then r1 is not usable after the restart

  Scenario: A replica left long before the file was saved
    Guards against a departure that is missing from the file because the replica has not
    been heard since.
    Given a saved directory with "r1 ready born 10 sequence 5"
    And r1 leaves and the directory is saved
    And 15 seconds pass
    When the instance restarts after 1 seconds
    And "r1 ready born 10 sequence 6" arrives after the restart
    Then r1 is not usable after the restart

  Scenario: A departure is saved before it is acknowledged
    Guards against a departure that a kill of all processes makes forgotten, because the
    file is written half a second later.
    Given a saved directory with "r1 ready born 10 sequence 5"
    When r1 leaves, its departure is to be acknowledged, and the instance restarts at once
    And "r1 ready born 10 sequence 6" arrives after the restart
    Then the departure was on the disk
    And r1 is not usable after the restart

  Scenario Outline: The file cannot be used
    Guards against an instance that does not start, or ends, because of this file.
    Given a saved directory with "r1 ready born 10 sequence 5"
    When <fault> and the instance restarts
    Then r1 is not usable after the restart

    Examples:
      | fault               |
      | the file is damaged |
      | the file is empty   |
      | the file is lost    |
      | reading fails       |

  Scenario: The disk is full
    Guards against an instance that ends because its directory cannot be saved.
    Given a saved directory with "r1 ready born 10 sequence 5"
    When the disk is full while notices arrive
    Then the instance goes on and saves the directory when there is room again
