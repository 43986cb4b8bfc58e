Feature: The replicated log

  Guards against lost, duplicated or reordered changes, two leaders in a term, stale
  reads reported as current, and "not run" reported for a change that was applied.

  Scenario Outline: A randomised run agrees with a single copy
    When the replicated log runs with seed <seed> and every fault
    Then the run finds no problem

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 34   |

  Scenario Outline: An operator's removal leaves voters that can elect a leader
    Guards against the removal of a voter while other voters have lost their disks. The
    new voter set is in force at once, and without a majority of its disks no leader can
    be elected any more.
    When the replicated log runs with seed <seed> and every fault
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
    When the replicated log runs with seed <seed> and every fault
    Then the run finds no problem

    Examples:
      | seed  |
      | 31268 |

  Scenario Outline: An answer to a message of an earlier term proves no contact
    Guards against a leader that restarted with its machine and compares the send time
    of an earlier message with its new monotonic clock. It would count itself as
    confirmed by a majority for as long as its machine had run before the restart.
    When the replicated log runs with seed <seed> and every fault
    Then the run finds no problem

    Examples:
      | seed  |
      | 31252 |

  Scenario Outline: A randomised run in which the leader keeps three voters by itself
    Guards against a voter set that loses its majority or never becomes stable. Seeds 8,
    23 and 148 ended with a lost voter listed as rejoining in a complete voter set.
    When the replicated log runs with seed <seed> and the gateway's constants
    Then the run finds no problem

    Examples:
      | seed |
      | 1    |
      | 8    |
      | 23   |
      | 148  |

  Scenario Outline: A start counts its election time from when the process began
    Guards against a vote within the read lease of a leader that the previous run of the
    process may have answered.
    When the replicated log runs with seed <seed> and starts of 350 ms
    Then the run finds no problem

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A leader soon after a common start
    Guards against an election timeout that starts only once the program is loaded.
    After a power failure no request is served before a leader is elected.
    When three voters start together 20 times, in 350 ms each
    Then half of the times one leads within the longest election time of their begin

  Scenario Outline: A broken rule is found
    When the replicated log runs with <broken> until a problem is found
    Then the run reports "<problem>"

    Examples:
      | broken                                            | problem                      |
      | a vote that is not synced                         | two leaders                  |
      | a lost disk that rejoins under its old identity   | two leaders or read index    |
      | a commit of an entry of an older term by counting | EntryChanged or differ       |
      | a lease that outlasts its time                    | read index                   |
      | a lease that is confirmed without a majority      | holds a lease                |
      | a start that trusts any leader                    | claims index                 |
      | a start that takes itself for an older one        | read index                   |

  Scenario: A torn tail of the log is cut off
    Guards against an instance that cannot start after a crash during a write.
    Given a log with 3 synced entries
    When the last 5 bytes of the log file are lost
    Then the log opens with 2 entries

  Scenario: A damaged record in the middle of the log is refused
    Guards against a voter that continues without entries that it has acknowledged.
    Given a log with 3 synced entries
    When a byte of the first record is changed
    Then the log is refused as corrupt
    And it starts over under another identity

  Scenario Outline: A file that is missing beside a vote is refused
    Guards against a voter that loses its log but keeps its disk identity.
    Given a log with 3 synced entries
    When the <file> file is removed
    Then the log is refused as corrupt

    Examples:
      | file     |
      | log      |
      | snapshot |

  Scenario: A folder keeps the log over a restart
    Given a log in a folder with 3 synced entries
    When the log is opened again
    Then the log opens with 3 entries

  Scenario: An isolated leader refuses changes
    Guards against a leader without a majority that still accepts changes, or whose
    refusal does not report that the change was not run.
    Given 3 instances of the replicated log
    When the leader is cut off for 4 seconds
    Then a change at the old leader is refused as not run
    And another instance leads and accepts a change

  Scenario: The live list follows silence and leases
    Guards against the replacement of an owner whose lease has not expired.
    Given 3 instances of the replicated log
    When a follower is cut off for 1.2 seconds
    Then the leader still lists the follower
    When 0.6 more seconds pass
    Then the leader no longer lists the follower
    When 0.6 more seconds pass
    Then the follower's lease has ended

  Scenario: A new leader keeps the live list for one lease
    Guards against a new leader that replaces owners while leases of the old leader run.
    Given 3 instances of the replicated log
    When the leader is stopped
    Then the new leader lists the old one until one lease has passed

  Scenario: A resend gets the first outcome after truncation, restart and handover
    Guards against a change that is applied twice because its reply was lost.
    Given 3 instances of the replicated log
    And a change that was accepted before 40 others
    When every instance restarts and leadership is handed over
    Then a resend of the change gets the first outcome
    And the same request id with another body is a conflict

  Scenario: The status shows term, leader and lag
    Given 3 instances of the replicated log
    Then the leader's status shows every instance without lag
