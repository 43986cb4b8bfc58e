Feature: Callers are sent to as many instances as the load needs

  Scenario: A large fleet
    Guards against queries spread over so many instances that none keeps a connection to
    a replica open: on a day with 200 instances each got a request in 3 s, and replicas
    closed 5,700 connections above their limit.
    Given 200 serving instances in 6 data centres and replicas in 3 of them
    Then 25 instances are listed, evenly in the data centres with replicas
    And all instances that know the same ones list the same ones

  Scenario: An instance fails
    Guards against lists that change as a whole, which would close all connections.
    Given 200 serving instances in 6 data centres and replicas in 3 of them
    When a listed instance fails
    Then the list has one other instance in its place

  Scenario: A data centre is lost
    Guards against a list that names too few instances, or none.
    Given 200 serving instances in 6 data centres and replicas in 3 of them
    When all instances in the data centres with replicas fail
    Then 12 instances are listed, evenly in the other data centres

  Scenario: Some instances have a faster link
    Guards against queries at instances whose link takes longer for the responses of all
    shards than the caller waits: 54 responses of 1 kB take 80 ms at 7 Mbit/s. On a day
    with 71 instances, 8 of them with 70 Mbit/s, half of the queries were late.
    Given 70 serving instances in 5 data centres and replicas in 4 of them
    And 0.516 cores and 7 Mbit/s each, but 10 with 1.38 cores and 70 Mbit/s
    Then the 8 fast instances are listed

  Scenario: One of the fast instances fails
    Guards against a list that changes as a whole when a fast instance is lost.
    Given 70 serving instances in 5 data centres and replicas in 4 of them
    And 0.516 cores and 7 Mbit/s each, but 10 with 1.38 cores and 70 Mbit/s
    When a listed instance fails
    Then the 7 fast instances are listed

  Scenario Outline: The fast instances are too few for the work
    Guards against all callers at instances that the loss of one leaves overloaded, or
    that cannot do the work at all.
    Given <size> serving instances in 5 data centres and replicas in 4 of them
    And 0.516 cores and 20 Mbit/s each, but <fast> with 1.38 cores and <link> Mbit/s
    Then <listed> instances are listed

    Examples:
      | size | fast | link | listed |
      | 70   | 3    | 100  | 12     |
      | 200  | 4    | 100  | 25     |

  Scenario: Some instances have not stated their capacity
    Guards against callers at instances of an earlier version, or at ones that have just
    been met, as if their machines were fast.
    Given 70 serving instances in 5 data centres and replicas in 4 of them
    And 0.516 cores and 7 Mbit/s each, but 10 with 1.38 cores and 70 Mbit/s
    And 20 of the slow instances have not stated their capacity
    Then the 8 fast instances are listed

  Scenario: All instances are as fast
    Guards against a list that depends on a difference between equal machines.
    Given 70 serving instances in 5 data centres and replicas in 4 of them
    And 0.516 cores and 20 Mbit/s each, but 0 with 1.38 cores and 100 Mbit/s
    Then 12 instances are listed

  Scenario: A small fleet
    Guards against instances of a small fleet that serve nobody.
    Given 11 serving instances in 4 data centres and replicas in 3 of them
    Then 11 instances are listed

  Scenario: Shared limits
    Guards against more connections to a replica, or more second attempts, than all
    instances together may use, while some instances are listed and others are not.
    Given 200 serving instances in 6 data centres and replicas in 3 of them
    Then the parts of all instances add up to at most the whole retry budget
    And the listed instances may open at most 127 connections to a replica of 127

  Scenario: A connection that was opened ahead of use and never used
    Guards against connections that are opened again whenever their idle timeout ends:
    24 instances with 111 requests in 34 s opened 14,867 connections.
    Given a replica that closes idle connections after 100 ms
    When a connection to it is opened ahead of use and ends unused
    Then no connection is needed ahead of use
    When a request is sent to it and its connection ends
    Then a connection is needed ahead of use again
