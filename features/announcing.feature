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

  Scenario Outline: The disks of an instance and its peers
    Guards against an acknowledged departure that is on no disk, or only on one that may
    be lost, so that a kill of all processes makes it forgotten. Also guards against an
    acknowledgement that waits for a disk that hangs.
    Given an instance with peers a and b, which all have a disk
    And <lost> disks may be lost at a time
    When a replica announces that it is draining while <disks>
    Then the notice is <outcome> after <from> to <until> ms

    Examples:
      | lost | disks                                     | outcome          | from | until |
      | 0    | all disks take 20 ms                      | acknowledged     | 40   | 60    |
      | 1    | all disks take 20 ms                      | acknowledged     | 60   | 80    |
      | 1    | the disk of peer b hangs                  | acknowledged     | 60   | 80    |
      | 1    | the own disk hangs                        | acknowledged     | 600  | 600   |
      | 1    | the disks of both peers hang              | acknowledged     | 600  | 600   |
      | 1    | all disks hang                            | not acknowledged | 600  | 600   |

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

  Scenario: A peer's digest names a notice that this instance has missed
    Guards against an instance that serves queries while it knows only one of three
    replicas of a shard. Their notices were sent before the connection was open; when the
    peer then asked for notices, this instance did not ask back. The known replica
    labelled its answers as compressed, and 13 of 40 queries had missing parts.
    Given an instance with peers a and b
    When peer a sends a digest that names an unknown replica
    Then peer a is asked for the notice at once

  Scenario: A peer is asked again if its notice is still missing
    Guards against a request that was lost, as the connection was not open, and is
    repeated only when a further message shows that the notice is missing.
    Given an instance with peers a and b
    When peer a sends a digest that names an unknown replica twice within 50 ms
    Then peer a is asked for the notice 2 times within 600 ms

  Scenario: A peer's digest names nothing new
    Guards against instances that ask each other for notices for ever.
    Given an instance with peers a and b
    When peer a sends a digest that names no unknown replica
    Then peer a is not asked for notices
