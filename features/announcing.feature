Feature: Leaving replicas are known everywhere before it is acknowledged

  Scenario: All peers confirm
    Guards against an acknowledgement before other instances know.
    Given an instance with peers a and b
    When a replica says that it drains and both peers confirm
    Then it is acknowledged after both confirmed

  Scenario: One peer is silent
    Guards against a replica that waits longer than it can.
    Given an instance with peers a and b
    When a replica says that it drains and only a confirms
    Then it is acknowledged within 700 ms

  Scenario: No peer confirms
    Guards against a notice that only an isolated instance knows.
    Given an instance with peers a and b
    When a replica says that it drains and no peer confirms
    Then it is not acknowledged

  Scenario: An unknown replica leaves
    Guards against a deregistration that is lost because this instance just started.
    Given an instance with peers a and b
    When an unknown replica says that it is gone and both peers confirm
    Then the peers were told that it left

  Scenario: Unchanged notices are sent together
    Guards against a message to each peer for each heartbeat.
    Given an instance with peers a and b
    When 5 replicas announce themselves 4 times in a second
    Then each change was sent at once and the rest in one message

  Scenario: A notice that was missed is repeated to another instance
    Guards against an instance that knows one of three replicas of a shard for seconds,
    because the notices of the others came before it was connected: 27 of 40 queries had
    parts missing when that one shed.
    Given an instance with peers a and b
    When a tells that an unknown replica repeated its notice
    Then a is asked for it at once
