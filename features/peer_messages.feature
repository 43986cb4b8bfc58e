Feature: Messages between instances

  Scenario: A peer that is heard starts to listen late
    Guards against instances that do not know each other, or a part of the replicas, for
    longer than needed after a start: the first message to a peer was lost because no
    connection to it was open yet, and the next one came a whole interval later.
    Given a peer that is heard but does not listen yet
    When a message to it is lost and it starts to listen
    Then it gets a heartbeat long before the interval of 60 s has passed
