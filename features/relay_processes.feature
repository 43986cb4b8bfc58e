Feature: More gateway processes than can all exchange messages

  Scenario: 24 gateways
    Guards against instances that know only a part of the fleet or no replicas. On a day
    with 24 instances most never learned that there are too many to exchange messages
    with, so they subscribed to no relay and could reach no replica. An instance whose
    seeds had been exchanged for instances that are no relays met nobody when it started.
    Relays pass on the replicated log, so each has to reach its subscribers with it.
    Given 24 gateways, of which 4 have a disk, 4 shards and a service
    Then every gateway answers a query with 4 parts
    And all gateways list the same 12 addresses
    And at most 4 gateways exchange messages with all others
    When a configuration is accepted
    Then every gateway has it in force within 3 seconds
    And the leader sends the log to at most 4 gateways
    When a replica announces to gateway 20 that it is draining
    Then it receives no more requests through any gateway
    When gateway 22 starts again with gateways 17, 18 and 19, no relays, as its seeds
    Then gateway 22 answers a query with 4 parts
    And all gateways list the same 12 addresses
    When a listed gateway that is no relay is killed
    Then all gateways list the same 12 addresses, without that one
    When a relay is killed and a replica announces to gateway 20 that it is draining
    Then it receives no more requests through any gateway
