Feature: A search through separate processes

  Guards against answers that lose shards when replicas die, and against answers that
  claim shards that they do not include.

  Scenario: A search reaches every shard
    Guards against targets that are announced but not searched.
    Given 3 entry instances and a service of 4 shards with 2 replicas
    When a caller searches for "wedding album"
    Then the answer includes 4 of 4 shards

  Scenario: The loss of one replica of each shard does not reduce the coverage
    Guards against a shard that is missing although one of its replicas is running.
    Given 3 entry instances and a service of 4 shards with 2 replicas
    When replica 0 of each shard is killed
    And a caller searches for "wedding album"
    Then the answer includes 4 of 4 shards

  Scenario: A shard without replicas is reported as missing
    Guards against an answer that claims coverage of a shard that no replica serves.
    Given 3 entry instances and a service of 4 shards with 1 replicas
    When the only replica of shard 2 is killed
    And a caller searches for "wedding album"
    Then the answer includes 3 of 4 shards
    And the answer names shard 2 as missing

  Scenario Outline: A port of an entry instance is in use
    Guards against a process that goes on running without one of its servers: nobody
    starts it again, and nothing says why it does not serve.
    Given 2 entry instances and a service of 1 shards with 1 replicas
    When the second one is started again while its <port> port is in use
    Then it exits with code 1 and logs that the task <task> has ended

    Examples:
      | port | task           |
      | http | caller_server  |
      | peer | peer_transport |
