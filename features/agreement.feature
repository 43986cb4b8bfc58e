Feature: The replicated log

  Guards against lost, doubled or reordered changes, two leaders, stale reads that claim
  to be current, and refusals that say "not run" of a change that ran.

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
    Guards against a removal while the disks of other voters are lost: the new set counts
    at once, and with fewer than a majority of its disks nobody is elected any more.
    When the replicated log runs with seed <seed> and every fault
    Then the run finds no problem

    Examples:
      | seed  |
      | 30318 |
      | 30369 |
      | 30716 |
      | 30497 |

  Scenario Outline: A voter whose removal is not committed can still be elected
    Guards against a group without a leader for ever: the leader, which lost its disk, and
    the removed voter had the removal in their logs. The removed voter had the longest
    log left, so it refused its vote to everybody else.
    When the replicated log runs with seed <seed> and every fault
    Then the run finds no problem

    Examples:
      | seed  |
      | 31268 |

  Scenario Outline: An answer to a message of an earlier term proves no contact
    Guards against a leader that restarted with its machine and takes the time of a
    message that it sent before, by another clock, for one of now: it would count
    itself as confirmed by a majority for as long as it had been up before.
    When the replicated log runs with seed <seed> and every fault
    Then the run finds no problem

    Examples:
      | seed  |
      | 31252 |

  Scenario Outline: A randomised run in which the leader keeps three voters by itself
    Guards against a voter set that loses its majority or never settles. Seeds 8, 23 and
    148 ended with a lost voter that was awaited though the set was full again.
    When the replicated log runs with seed <seed> and the gateway's constants
    Then the run finds no problem

    Examples:
      | seed |
      | 1    |
      | 8    |
      | 23   |
      | 148  |

  Scenario Outline: A start counts its election time from when the process began
    Guards against a vote within the time for which the last run may have supported a
    leader's reads.
    When the replicated log runs with seed <seed> and starts of 350 ms
    Then the run finds no problem

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A leader soon after a common start
    Guards against an election time that begins only once the program is loaded: after a
    loss of power nobody is served before there is a leader.
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
    Guards against a crash during a write that makes the instance unusable.
    Given a log with 3 synced entries
    When the last 5 bytes of the log file are lost
    Then the log opens with 2 entries

  Scenario: A damaged record in the middle of the log is refused
    Guards against a voter that continues without entries that it has confirmed.
    Given a log with 3 synced entries
    When a byte of the first record is changed
    Then the log is refused as corrupt
    And it starts over under another identity

  Scenario Outline: A file that is missing beside a vote is refused
    Guards against a voter that forgets its log but keeps its identity.
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
    Guards against a leader without a majority that goes on accepting, and against a
    refusal that does not say that nothing ran.
    Given 3 instances of the replicated log
    When the leader is cut off for 4 seconds
    Then a change at the old leader is refused as not run
    And another instance leads and accepts a change

  Scenario: The live list follows silence and leases
    Guards against an owner that is replaced while its lease still runs.
    Given 3 instances of the replicated log
    When a follower is cut off for 1.2 seconds
    Then the leader still lists the follower
    When 0.6 more seconds pass
    Then the leader no longer lists the follower
    When 0.6 more seconds pass
    Then the follower's lease has ended

  Scenario: A new leader keeps the live list for one lease
    Guards against a new leader that replaces owners whose leases it does not know.
    Given 3 instances of the replicated log
    When the leader is stopped
    Then the new leader lists the old one until one lease has passed

  Scenario: A resend gets the first outcome after truncation, restart and handover
    Guards against a change that is applied again when its reply was lost.
    Given 3 instances of the replicated log
    And a change that was accepted before 40 others
    When every instance restarts and leadership is handed over
    Then a resend of the change gets the first outcome
    And the same request id with another body is a conflict

  Scenario: The status shows term, leader and lag
    Given 3 instances of the replicated log
    Then the leader's status shows every instance without lag
