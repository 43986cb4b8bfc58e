Feature: The target stand-in behaves as the platform says

  Scenario: Closing a connection stops the work
    # Guards against measurements in which cancelled work goes on using slots.
    Given 1 entry instances and a service of 1 shards with 1 replicas
    When a connection to the target is closed during a long search
    Then the target works on nothing
