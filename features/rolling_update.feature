Feature: Gateways of the last landing and of this version serve in one fleet

  Scenario: The gateways are replaced one after the other, and one goes back
    Guards against messages, stored data or roles that the other version cannot read,
    which would lose the configuration or stop the fleet during an update.
    Given 3 gateways of version 2eba20e, 4 shards and a service
    When each gateway in turn is stopped and started with this version
    Then after each step the configuration reads back and every gateway answers
    When the operator submits a configuration
    And the last gateway is stopped and started with version 2eba20e
    Then after each step the configuration reads back and every gateway answers
