Feature: Other instances learn of a leaving replica before its notice is acknowledged

  Scenario: All peers confirm
    Guards against an acknowledgement while other instances still send requests to the
    replica.
    Given an instance with peers a and b
    When a replica announces that it is draining and both peers confirm
    Then the notice is acknowledged after both confirmed

  Scenario: One peer is silent
    Guards against a replica that gets its acknowledgement too late, because one peer
    does not confirm.
    Given an instance with peers a and b
    When a replica announces that it is draining and only peer a confirms
    Then the notice is acknowledged within 700 ms

  Scenario: No peer confirms
    Guards against an acknowledged notice that only an isolated instance knows.
    Given an instance with peers a and b
    When a replica announces that it is draining and no peer confirms
    Then the notice is not acknowledged

  Scenario: An unknown replica leaves
    Guards against a deregistration that is dropped because this instance has just
    started and does not know the replica.
    Given an instance with peers a and b
    When an unknown replica deregisters and both peers confirm
    Then the peers are told that it has left

  Scenario: Unchanged notices are sent together
    Guards against a message to every peer for every heartbeat of a replica.
    Given an instance with peers a and b
    When 5 replicas announce themselves 4 times in a second
    Then each change is sent at once and the unchanged notices in one message

  Scenario: A notice that an instance has missed is requested from a peer
    Guards against an instance that for seconds knows only one of three replicas of a
    shard, because the notices of the others came before it was connected. When that
    replica shed its requests, 27 of 40 queries had missing parts.
    Given an instance with peers a and b
    When peer a reports that an unknown replica repeated its notice
    Then peer a is asked for the notice at once
