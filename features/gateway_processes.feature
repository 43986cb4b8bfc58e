Feature: Gateways as processes serve the users' platform

  Scenario: A query and a request are answered
    Guards against a part of the whole path that does not fit the others.
    Given 3 gateways, 4 shards and a service
    When a caller sends a query to each gateway
    Then each answer holds 4 parts and the greatest 5 records
    When a caller sends a request to the service through each gateway
    Then each answer is the replica's own
    And every gateway lists all front addresses

  Scenario: The operator's calls
    Guards against an accepted configuration that is lost, changed or overtaken by an
    older one, and against an invalid one in force.
    Given 3 gateways, 4 shards and a service
    When the operator sends the configuration again
    Then it is acknowledged and reads back unchanged
    When the operator sends an older version
    Then it is acknowledged and reads back unchanged
    When the operator sends other content under the same version
    Then it is acknowledged and reads back unchanged
    When the operator sends invalid configurations
    Then each is refused with 400 and reads back unchanged

  Scenario: Unreadable announcements
    Guards against a foreign writer that breaks a gateway or names a replica.
    Given 3 gateways, 4 shards and a service
    When announcements with missing and wrong fields arrive
    Then each is refused with 400
    And a query is answered with 4 parts

  Scenario: A planned stop cuts off no request
    Guards against requests that a stopping gateway takes and gives up. A hunted day
    showed one that was taken 5.3 s after SIGTERM (kallio-lasku, trouble-2, seed
    547376509482).
    Given 3 gateways, 4 shards and a service
    And the service works for 900 ms
    When callers send requests to a gateway that is told to stop
    Then every request that it took was answered
    And it ended within 6 s with exit code 0

  Scenario: All gateways are killed at once
    Guards against an acknowledged configuration that is gone after a restart.
    Given 3 gateways, 4 shards and a service
    When all gateways are killed and started again
    Then the configuration reads back unchanged
    And a query is answered with 4 parts

  Scenario: All gateways are killed and their seeds are other machines, which are down
    Guards against voters that wait for the seeds to learn each other's addresses
    (stegasta, trouble-1: three voters that had started 0.8 s earlier could not elect a
    leader before the exchanged seeds were up).
    Given 3 gateways, 4 shards and a service
    When all gateways are killed and started again with seeds that are down
    Then the configuration reads back unchanged
    And a query is answered with 4 parts

  Scenario: A gateway loses its disk
    Guards against a voter set that shrinks with each lost disk.
    Given 3 gateways, 4 shards and a service
    When each gateway in turn is killed and started with an empty disk
    Then the configuration reads back unchanged

  Scenario: A disk refuses to be written
    Guards against a gateway that goes on with an old configuration because its part in
    the replicated log has ended (deploy/days/disks-twice.toml on stegasta, seed
    266447130652: a request was handled by version 3, 7 s after version 5 was accepted).
    Given 3 gateways, 4 shards and a service
    When the disk of one gateway is full and a configuration is accepted
    Then that gateway ends with exit code 1
    And once its disk has room and it has started again it serves the new one

  Scenario: A replica drains
    Guards against work for a replica that said it leaves.
    Given 3 gateways, 4 shards and a service
    When a replica says to one gateway that it drains
    Then it gets no request through any gateway from then on

  Scenario: A caller leaves
    Guards against replicas that work on for a caller that has gone.
    Given 3 gateways, 4 shards and a service
    And all replicas work for 3000 ms
    When a caller closes its connection during a query
    Then the replicas have stopped half a second later

  Scenario Outline: Faulty replicas
    Guards against an answer that belongs to another request or is not whole.
    Given 3 gateways, 4 shards and a service
    And one replica of each shard does <fault>
    When callers send 40 queries
    Then each success is true and at least 30 are complete

    Examples:
      | fault    |
      | extra    |
      | unframed |
      | cut      |
      | encoded  |
      | reset    |
      | error    |
      | shed     |
