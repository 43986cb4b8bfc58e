Feature: Callers follow address lists while instances come and go

  Guards against requests that are cut off by a planned stop, and against addresses of
  stopped or dead instances that callers still get.

  Scenario: A planned stop cuts off no request
    Given 3 entry instances and a service of 3 shards with 2 replicas
    When callers search all the time and entry instance 2 is stopped
    Then every search got a whole answer
    And the stopped instance ended with exit code 0
    And the others no longer give out its address

  Scenario: A killed instance leaves the address lists
    Given 3 entry instances and a service of 2 shards with 2 replicas
    When entry instance 2 is killed
    Then the others no longer give out its address
    And a search still includes 2 of 2 shards

  Scenario: A second SIGTERM skips the wait for the address lifetime
    Given 2 entry instances and a service of 1 shards with 1 replicas
    When entry instance 2 gets SIGTERM twice
    Then the stopped instance ended with exit code 0

  Scenario: A frozen instance is not given out and comes back
    Given 3 entry instances and a service of 2 shards with 2 replicas
    When entry instance 2 is frozen
    Then the others no longer give out its address
    And a search still includes 2 of 2 shards
    When entry instance 2 goes on
    Then the others give out its address again
