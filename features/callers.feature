Feature: Callers follow address lists while instances start and stop

  Guards against requests that a planned stop interrupts, and against address lists that
  still contain stopped, crashed or paused instances or omit one that has resumed.

  Scenario: A planned stop interrupts no request
    Given 3 entry instances and a service of 3 shards with 2 replicas
    When callers search continuously while entry instance 2 is stopped
    Then every search gets a complete answer
    And the stopped instance exits with code 0
    And the other instances no longer list its address

  Scenario: A killed instance leaves the address lists
    Given 3 entry instances and a service of 2 shards with 2 replicas
    When entry instance 2 is killed
    Then the other instances no longer list its address
    And a search still includes 2 of 2 shards

  Scenario: A second SIGTERM skips the wait for the address lifetime
    Guards against a stop that fails or does not end after a second SIGTERM.
    Given 2 entry instances and a service of 1 shards with 1 replicas
    When entry instance 2 receives SIGTERM twice
    Then the stopped instance exits with code 0

  Scenario: The address of a paused instance is listed again after it resumes
    Given 3 entry instances and a service of 2 shards with 2 replicas
    When entry instance 2 is paused
    Then the other instances no longer list its address
    And a search still includes 2 of 2 shards
    When entry instance 2 resumes
    Then the other instances list its address again
