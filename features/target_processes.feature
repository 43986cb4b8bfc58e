Feature: Processes of targets and owners that fail

  Each scenario also checks that no instance reported a violated invariant.

  Scenario: Reused connections go silent while new ones work
    Guards against the loss of a replica whose pooled connections are dead.
    Given 2 entry instances and a service of 1 shards with 1 replicas
    When searches have opened connections and reused connections go silent
    Then every search is complete and a silent connection was counted

  Scenario: A target is paused and resumes later
    Guards against a shard that stays missing although one of its replicas works.
    Given 2 entry instances and a service of 2 shards with 2 replicas
    When replica 0 of each shard is paused
    Then searches become complete again
    When the paused targets resume
    Then all targets become usable and searches are complete

  Scenario: An owner is paused and resumes later
    Guards against replicas without an owner, and against two instances that use the
    full quota of a replica at the same time.
    Given 3 entry instances and a service of 4 shards with 1 replicas
    When an instance that owns replicas is paused
    Then searches through another instance become complete again
    When the paused instance resumes
    Then searches through every instance become complete again

  Scenario: A target drains
    Guards against searches that lose a shard while one of its replicas shuts down.
    Given 2 entry instances and a service of 2 shards with 2 replicas
    When replica 0 of each shard is stopped gracefully during searches
    Then no search was incomplete and the targets exited without failure

  Scenario: A target sheds load
    Guards against a replica that counts as failed because it sheds load, and against
    repeated requests to such a replica.
    Given 2 entry instances and a service of 1 shards with 2 replicas
    When the replicas shed load in turn during searches
    Then no search was incomplete and a shed reply was counted

  Scenario: An owner stops gracefully
    Guards against work that fails while its owner transfers its replicas to others.
    Given 3 entry instances and a service of 4 shards with 2 replicas
    When an instance that owns replicas is stopped gracefully during searches
    Then no search was incomplete and the instance exited without failure
