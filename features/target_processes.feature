Feature: Targets and owners that fail, as processes

  Each scenario also checks that no instance reported a broken invariant.

  Scenario: Connections go silent while new ones work
    # Guards against losing a replica because of its dead connections.
    Given 2 entry instances and a service of 1 shards with 1 replicas
    When searches have opened connections and each used one goes silent
    Then every search is complete and a silent connection was counted

  Scenario: A target is frozen and goes on later
    # Guards against a shard that stays missing although a replica is alive.
    Given 2 entry instances and a service of 2 shards with 2 replicas
    When replica 0 of each shard is paused
    Then searches become complete again
    When the paused targets go on
    Then all targets become usable and searches are complete

  Scenario: An owner is frozen and goes on later
    # Guards against replicas without an owner, and against two full owners.
    Given 3 entry instances and a service of 4 shards with 1 replicas
    When an instance that owns replicas is paused
    Then searches through another instance become complete again
    When the paused instance goes on
    Then searches through every instance become complete again

  Scenario: A target drains
    # Guards against searches that lose a shard because one replica leaves in order.
    Given 2 entry instances and a service of 2 shards with 2 replicas
    When replica 0 of each shard is stopped in order during searches
    Then no search was incomplete and the targets ended without failure

  Scenario: A target sheds load
    # Guards against blaming a replica for shedding, and against pressing on.
    Given 2 entry instances and a service of 1 shards with 2 replicas
    When the replicas shed load in turn during searches
    Then no search was incomplete and a shed reply was counted

  Scenario: An owner stops in order
    # Guards against work that fails because its owner hands over replicas.
    Given 3 entry instances and a service of 4 shards with 2 replicas
    When an instance that owns replicas is stopped in order during searches
    Then no search was incomplete and the instance ended without failure
