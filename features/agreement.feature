Feature: The replicated log

  Guards against lost, duplicated or reordered changes, two leaders in a term, stale
  reads reported as current, and "not run" reported for a change that was applied.

  Scenario Outline: A randomised run agrees with a single-copy model
    Guards against violations of the log's guarantees that appear only under combinations
    of crashes, partitions, lost disks and changes of the voter set.
    When the replicated log runs with seed <seed> and all kinds of faults
    Then the run finds no problem

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 34   |

  Scenario Outline: A removal by an operator leaves voters that can elect a leader
    Guards against the removal of a voter while other voters have lost their disks. The
    new voter set is in force at once, and without a majority of its disks no leader can
    be elected any more.
    When the replicated log runs with seed <seed> and all kinds of faults
    Then the run finds no problem

    Examples:
      | seed  |
      | 30318 |
      | 30369 |
      | 30716 |
      | 30497 |

  Scenario Outline: A voter whose removal is not committed can still be elected
    Guards against a permanent loss of leadership. Only the removed voter and the leader,
    which lost its disk, had the removal in their logs. The removed voter then had the
    longest log, so it refused its vote to every other candidate.
    When the replicated log runs with seed <seed> and all kinds of faults
    Then the run finds no problem

    Examples:
      | seed  |
      | 31268 |

  Scenario Outline: A reply to a message of an earlier term does not confirm a leader
    Guards against a leader that restarted with its machine and compares the send time
    of an earlier message with its new monotonic clock. It would count itself as
    confirmed by a majority for as long as its machine had run before the restart.
    When the replicated log runs with seed <seed> and all kinds of faults
    Then the run finds no problem

    Examples:
      | seed  |
      | 31252 |

  Scenario Outline: A randomised run in which the leader maintains three voters by itself
    Guards against a voter set that loses its majority or never becomes stable. Seeds 8,
    23 and 148 ended with a lost voter listed as rejoining in a complete voter set. With
    seeds 60135 and 920006 the leader added a spare whose disk had just been lost, so no
    majority was left. With seed 910204 a leader that stepped down at once held a lease
    by a list that no other instance had. With seed 4000241 the only instance that all
    others could vote for was a learner that did not know that it had become a voter.
    When the replicated log runs with seed <seed> and the gateway's settings
    Then the run finds no problem

    Examples:
      | seed |
      | 1    |
      | 8    |
      | 23     |
      | 148    |
      | 60135  |
      | 910204 |
      | 920006 |
      | 4000241 |

  Scenario Outline: A randomised run with compressed entries and snapshots
    Guards against violations of the log's guarantees that only compressed batches bring
    about, as when a peer restarts in the middle of a compressed snapshot.
    When the replicated log runs with seed <seed>, the gateway's settings and compression
    Then the run finds no problem

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: A randomised run in which followers pass on the log
    Guards against a learner that lacks entries for good, applies one that is not
    committed, or takes itself for caught up after its start because the follower that
    feeds it is behind. With seeds 8000003 and 8000008 a follower extended a lease that
    the leader had not given. With seed 8000067 a late reply named an index that the
    follower had had as leader and had lost, and its replication task ended.
    When the replicated log runs with seed <seed> and followers that pass it on
    Then the run finds no problem

    Examples:
      | seed    |
      | 1       |
      | 2       |
      | 8000003 |
      | 8000008 |
      | 8000067 |

  Scenario: The leader leaves a learner to the follower that feeds it
    Guards against a leader that exchanges messages with hundreds of instances. With 300
    the next acknowledgement after the loss of a leader took 7.3 s in place of 3.1.
    Given three voters with the gateway's settings, one of which leads
    And a learner that gets the log from a follower
    When 15 changes of a document of 20 KB are accepted
    Then the learner has each change within 300 ms and takes itself for caught up
    And the leader has sent the learner nothing

  Scenario: Changes of large documents are sent compressed
    Guards against a log whose traffic is most of what a fleet of hundreds of instances
    sends between data centres, and whose leader takes seconds to bring all instances up
    to date after a loss of power.
    Given three voters with the gateway's settings, one of which leads
    When 15 changes of a document of 20 KB are accepted and a learner joins
    Then the learner has the last change and got at most 40 KB

  Scenario: A peer does not accept compressed entries
    Guards against an instance of an earlier version that gets no entries any more
    during an update.
    Given three voters with the gateway's settings, one of which leads
    When 3 changes of a document of 20 KB are accepted and an older learner joins
    Then the learner has the last change and got no compressed entries

  Scenario Outline: Compressed entries are damaged
    Guards against damaged bytes that end the task which receives messages, or that fill
    the memory.
    Given entries in compressed form
    When their compressed form is <damage>
    Then they are refused as malformed

    Examples:
      | damage         |
      | cut off        |
      | no compression |
      | 100 MB of zeros |

  Scenario: A leader lists itself while it is cut off
    Guards against a lease by a live list that no other instance has. The next leader
    does not list the holder, so others would take over what it owns.
    Given three voters with the gateway's settings, one of which leads
    When the leader is cut off 1.5 s after its election, before its first live list
    And another leader is elected
    Then the first leader holds no lease when it has listed itself

  Scenario Outline: The election timeout counts from the start of the process
    Guards against a vote that a restarted process gives within the read lease of a leader
    that it may have answered before the restart.
    When the replicated log runs with seed <seed> and process starts of 350 ms
    Then the run finds no problem

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A leader is elected soon after a simultaneous start
    Guards against an election timeout that starts only once the program is loaded.
    After a power failure no request is served before a leader is elected.
    When three voters start together 20 times and each takes 350 ms to start
    Then the median time to elect a leader is at most the maximum election timeout

  Scenario Outline: The checks detect deliberate defects
    Guards against a simulation that no longer notices a violated rule.
    When the replicated log runs with <defect>
    Then a run reports "<problem>"

    Examples:
      | defect                                                   | problem                   |
      | a vote that is not synced                                | two leaders               |
      | a lost disk that rejoins under its old identity          | two leaders or read index |
      | a commit of an entry of an older term by counting        | EntryChanged or differ    |
      | a read lease that is too long                            | read index                |
      | a lease that is confirmed without a majority             | holds a lease             |
      | a restart that trusts the first commit index it receives | claims index              |
      | a follower that proves a start without a majority        | claims index              |
      | a process that assumes an earlier start time             | read index                |
      | a state that counts as current without a majority        | claims all changes        |

  Scenario: A torn record at the end of the log is truncated
    Guards against an instance that cannot start after a crash during a write.
    Given a log with 3 synced entries
    When the last 5 bytes of the log file are lost
    Then the log opens with 2 entries

  Scenario: A corrupt record in the middle of the log is refused
    Guards against a voter that continues without entries that it has acknowledged.
    Given a log with 3 synced entries
    When a byte of the first record is changed
    Then the log is refused as corrupt
    And a reset log is empty and has a new identity

  Scenario Outline: A missing log or snapshot file is refused if a vote is stored
    Guards against a voter that loses its log but keeps its disk identity.
    Given a log with 3 synced entries
    When the <file> file is removed
    Then the log is refused as corrupt

    Examples:
      | file     |
      | log      |
      | snapshot |

  Scenario: A log in a folder survives a restart
    Guards against entries that are missing once the files are opened again.
    Given a log in a folder with 3 synced entries
    When the log is opened again
    Then the log opens with 3 entries

  Scenario: An isolated leader refuses changes
    Guards against a leader without a majority that still accepts changes, or whose
    refusal does not report that the change was not run.
    Given 3 instances of the replicated log
    When the leader is isolated for 4 seconds
    Then a change proposed to the old leader is refused as not run
    And another instance leads and accepts a change

  Scenario: The live list and the lease of an isolated follower
    Guards against the replacement of an owner whose lease has not expired.
    Given 3 instances of the replicated log
    When a follower is isolated for 1.2 seconds
    Then the leader still lists the follower
    When 0.6 more seconds pass
    Then the leader no longer lists the follower
    When 0.6 more seconds pass
    Then the follower's lease has expired

  Scenario: A new leader keeps the live list for one lease
    Guards against a new leader that replaces owners whose leases it does not know and
    which may still run.
    Given 3 instances of the replicated log
    When the leader is stopped
    Then the new leader lists the old one until one lease has passed

  Scenario: A resend gets the first outcome after truncation, restart and leadership transfer
    Guards against a change that is applied twice because its reply was lost.
    Given 3 instances of the replicated log
    And a change that was accepted before 40 others
    When every instance restarts and leadership is transferred
    Then a resend of the change gets the first outcome
    And the same request id with another body is a conflict

  Scenario: The status shows term, leader and lag
    Guards against a status that names another leader or reports a lag without cause.
    Given 3 instances of the replicated log
    Then the leader's status shows every instance without lag

  Scenario: The clock of leases goes on while the machine is suspended
    Guards against a leader that wakes from a suspension of some seconds with a lease that
    another leader's changes have overtaken, and answers reads with an old version.
    When the machine is suspended for 5 seconds
    Then the clock of the process has advanced by 5 seconds
