Feature: A request is forwarded to one replica, whose complete response is returned

  Scenario: A successful response is returned
    Guards against a response that differs from the one that the replica sent.
    Given a service with 3 replicas
    When an idempotent request is forwarded
    Then the response is a replica's success

  Scenario: An at-most-once request is not sent again after its connection broke
    Guards against running such a request twice, and against a "not run" refusal of a
    request that may have run.
    Given a service with 3 replicas
    And every replica resets connections
    When an at-most-once request is forwarded
    Then it fails with request_failed
    And 1 requests arrived

  Scenario: An at-most-once request is sent again after proof that it did not run
    Guards against refusing a request that another replica can serve.
    Given a service with 3 replicas
    And the first-choice replica sheds
    When an at-most-once request is forwarded
    Then the response is a replica's success
    And 2 requests arrived

  Scenario: A request that all replicas shed is reported as not run
    Guards against a failure that says that the request may have run, although every
    replica refused it.
    Given a service with 3 replicas
    And every replica sheds
    When an at-most-once request is forwarded
    Then it fails with request_not_run

  Scenario: A replica that accepts no connection uses up no attempt
    Guards against a request that fails because some replicas have crashed.
    Given a service with 3 replicas
    And 2 replicas accept no connection
    When an at-most-once request is forwarded
    Then the response is a replica's success

  Scenario: A replica's failure is returned
    Guards against a failure with a status that the replica did not send.
    Given a service with 1 replicas
    And every replica fails with status 500
    When an idempotent request is forwarded
    Then the response is the replica's failure with status 500

  Scenario: No memory is free for a response
    Guards against a retry or a hedge that takes the same memory again, and against a
    refusal of a request that has run.
    Given a service with 3 replicas
    And every replica answers with no memory
    When an idempotent request is forwarded
    Then it fails with response_dropped
    And 1 requests arrived

  Scenario Outline: A success that cannot be used is not passed on
    Guards against a spoiled answer that reaches the caller as a success (review/3), and
    against a refusal that says that the request has not run.
    Given a service with 3 replicas
    And every replica answers with <fault>
    When an <kind> request is forwarded
    Then it fails with request_failed

    Examples:
      | fault         | kind         |
      | an encoding   | at-most-once |
      | an encoding   | idempotent   |
      | no identifier | at-most-once |
      | no identifier | idempotent   |

  Scenario: An at-most-once request is never hedged
    Guards against running such a request twice.
    Given a service with 3 replicas
    And every replica is silent
    When an at-most-once request is forwarded
    Then it fails with time_limit_reached
    And 1 requests arrived

  Scenario: A silent replica does not hold up an idempotent request
    Guards against a request that waits for one stalled replica.
    Given a service with 3 replicas
    And the first-choice replica is silent
    When an idempotent request is forwarded
    Then the response is a replica's success

  Scenario: A traffic split follows its weights
    Guards against services that get more or less than their share.
    When 300 requests are split 70 to 20 to 10
    Then the services get 210, 60 and 30 requests

  Scenario: Two routes of one name have different splits
    Guards against routes that reset each other's shares, so that the first service of
    each gets most requests.
    When 300 requests are split 70 to 20 to 10, each after one of a route of that name
    Then the services get 210, 60 and 30 requests

  Scenario: A replica wants no requests for a time
    Guards against requests to an overloaded replica that has asked for a pause.
    Given a service with 1 replicas
    And every replica refuses and wants no requests for 2000 ms
    When 10 requests are forwarded 100 ms apart
    Then 1 requests arrived
    And each later request is refused as not run, with the rest of the 2000 ms to wait
    When 2100 ms pass and the replicas recover
    Then a request is answered

  Scenario: A replica that wants no requests leaves the work to the others
    Guards against a refusal although another replica takes requests.
    Given a service with 3 replicas
    And the first-choice replica refuses and wants no requests for 2000 ms
    When 10 requests are forwarded 100 ms apart
    Then each is answered
    And the first-choice replica received 1 request

  Scenario: A replica states in its responses that it is leaving
    Guards against requests to a replica that leaves and whose notice this instance has
    not got.
    Given a service with 3 replicas
    And the first-choice replica answers that it is leaving
    When 10 requests are forwarded 100 ms apart
    Then each is answered
    And the first-choice replica received 1 request

  Scenario: All replicas state that they are leaving
    Guards against requests to leaving replicas for want of others.
    Given a service with 2 replicas
    And every replica answers that it is leaving
    When 10 requests are forwarded 100 ms apart
    Then no replica received more than 1 request
    And each later request is refused as not run
