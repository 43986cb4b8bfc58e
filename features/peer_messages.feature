Feature: Messages between instances

  Scenario: A peer that is heard starts to listen late
    Guards against instances that do not know each other, or a part of the replicas, for
    longer than needed after a start: the first message to a peer was lost because no
    connection to it was open yet, and the next one came a whole interval later.
    Given a peer that is heard but does not listen yet
    When a message to it is lost and it starts to listen
    Then it gets a heartbeat long before the interval of 60 s has passed

  Scenario: The state of an instance is sent beside other messages
    Guards against a state that a peer never learns: the heartbeat that announced it was
    lost, and none followed, because the leader sends its voters something else all the
    time. One of 24 gateways did not list the leader for as long as it led.
    Given a peer that is sent 20 messages a second
    When 3 seconds have passed
    Then it has got a heartbeat beside them

  Scenario: The leader sends the log to an instance with a disk that takes others for relays
    Guards against an instance that never serves: it was told of two of three relays, did
    not answer the third one, the leader, and so never got the log that names them all.
    Given an instance with a disk in a fleet of 24, whose seeds are no relays
    When it is told of two relays, and a third one sends it the log
    Then it exchanges messages with all three
