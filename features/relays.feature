Feature: Relays keep the directory of hundreds of instances the same everywhere

  Scenario Outline: Each instance exchanges the same amount, however many there are
    Guards against messages and bytes of an ordinary instance that grow with the number
    of instances. With a message from each instance to each other one, 200 instances sent
    0.46 GB between data centres in 31 s.
    Given <size> instances in 6 data centres, 5 of them relays
    When 150 replicas announce themselves and 20 seconds pass
    Then every instance knows 150 usable replicas and <size> live instances
    And in the next 10 seconds a subscriber sends at most 2.5 messages and 10 KB a second
    And the instances send at most 240 KB a second between data centres

    Examples:
      | size |
      | 30   |
      | 100  |
      | 300  |

  Scenario Outline: A replica that drains is used nowhere soon after its acknowledgement
    Guards against requests to a leaving replica from an instance that its notice has not
    reached. The notice goes to a subscriber or to a relay.
    Given 60 instances in 6 data centres, 5 of them relays
    When 30 replicas announce themselves and 3 seconds pass
    And replica 7 tells a <role> that it is draining
    Then the notice is acknowledged within 700 ms
    And no instance uses replica 7 1 second later

    Examples:
      | role       |
      | subscriber |
      | relay      |

  Scenario: A draining replica reports while a relay is down
    Guards against a notice that is not acknowledged, or not known, because one relay has
    crashed.
    Given 60 instances in 6 data centres, 5 of them relays
    When 30 replicas announce themselves and 3 seconds pass
    And relay 2 crashes and 4 seconds pass
    And replica 7 tells a subscriber that it is draining
    Then the notice is acknowledged within 700 ms
    And no instance uses replica 7 1 second later
    And every live instance counts relay 2 as failed

  Scenario: A relay is cut off from the others
    Guards against subscribers that follow a relay which no longer hears of changes.
    Given 60 instances in 6 data centres, 5 of them relays
    When 30 replicas announce themselves and 3 seconds pass
    And a majority no longer confirms relay 2 and 3 seconds pass
    Then no subscriber follows relay 2

  Scenario: An instance crashes
    Guards against addresses of a dead instance in the lists that callers get.
    Given 60 instances in 6 data centres, 5 of them relays
    When 3 replicas announce themselves and 3 seconds pass
    And a subscriber crashes and 3 seconds pass
    Then every live instance counts that subscriber as failed

  Scenario: A replica is silent
    Guards against a crashed replica that subscribers use for ever, since they do not
    judge by themselves how long a replica has been silent.
    Given 60 instances in 6 data centres, 5 of them relays
    When 30 replicas announce themselves and 3 seconds pass
    And replica 7 falls silent and 14 seconds pass
    Then no instance uses replica 7 1 second later

  Scenario: Messages to a subscriber are lost
    Guards against a subscriber that lacks a change for good because one update was lost.
    Given 60 instances in 6 data centres, 5 of them relays
    When 30 replicas announce themselves and 3 seconds pass
    And a subscriber is cut off while replica 7 tells another that it is draining
    Then the notice is acknowledged within 700 ms
    And no instance uses replica 7 2 seconds after the cut has healed

  Scenario: The relay of the same data centre is preferred
    Guards against traffic between data centres, which costs money.
    Given 60 instances in 6 data centres, 5 of them relays
    When 3 replicas announce themselves and 3 seconds pass
    Then each subscriber follows the relay in its data centre, if there is one
    And the others are spread over the relays

  Scenario: The capacities reach every instance
    Guards against instances that list others than their neighbours do, because relays
    do not pass on what a subscriber states about its machine.
    Given 30 instances in 6 data centres, 5 of them relays
    When 3 replicas announce themselves and 3 seconds pass
    Then every instance knows the capacity of every other one

  Scenario: A subscriber that starts gets the whole directory
    Guards against a start of the whole fleet that fills the links of the relays: in
    plain form the directory of 200 instances and 330 replicas takes 70 KB for each.
    Given 100 instances in 6 data centres, 5 of them relays
    When 150 replicas announce themselves and 3 seconds pass
    Then a relay sends a subscriber without a position at most 10 KB
