Feature: A request goes to one replica and gets its whole response

  Scenario: A success is passed on
    Guards against a response that differs from the replica's.
    Given a service with 3 replicas
    When an idempotent request is forwarded
    Then the response is a replica's success

  Scenario: A request that may run once is not sent again after its connection broke
    Guards against running such a request twice.
    Given a service with 3 replicas
    And every replica resets connections
    When a request that may run once is forwarded
    Then it fails with request_failed
    And 1 requests arrived

  Scenario: A request that may run once is sent again after a proof that it did not run
    Guards against refusing a request that another replica can serve.
    Given a service with 3 replicas
    And the first choice sheds
    When a request that may run once is forwarded
    Then the response is a replica's success
    And 2 requests arrived

  Scenario: A refusal is true
    Guards against a refusal for a request that may have run.
    Given a service with 3 replicas
    And every replica sheds
    When a request that may run once is forwarded
    Then it fails with request_not_run

  Scenario: A replica that accepts no connection costs no attempt
    Guards against losing a request to a crashed replica.
    Given a service with 3 replicas
    And 2 replicas accept no connection
    When a request that may run once is forwarded
    Then the response is a replica's success

  Scenario: A failure of a replica is passed on
    Guards against a failure with a status that the replica did not give.
    Given a service with 1 replicas
    And every replica fails with status 500
    When an idempotent request is forwarded
    Then the response is the replica's failure with status 500

  Scenario: A request that may run once is never hedged
    Guards against running such a request twice.
    Given a service with 3 replicas
    And every replica is silent
    When a request that may run once is forwarded
    Then it fails with time_limit_reached
    And 1 requests arrived

  Scenario: A silent replica does not hold an idempotent request
    Guards against a request that waits for one stalled replica.
    Given a service with 3 replicas
    And the first choice is silent
    When an idempotent request is forwarded
    Then the response is a replica's success

  Scenario: A split keeps to its weights
    Guards against parts that get more or less than their share.
    When 300 requests are split 70 to 20 to 10
    Then the parts got 210, 60 and 30 requests
