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
