Feature: The target stand-in behaves as the platform specifies

  Scenario: Closing a connection stops the work
    Guards against measurements in which cancelled work still occupies slots.
    Given 1 entry instances and a service of 1 shards with 1 replicas
    When a connection to the target is closed during a long search
    Then the target has no work in flight
