Feature: Data centres are evacuated, and cold replicas are spared

  Scenario: The order that is applied last wins
    Guards against an order that is taken for a resend of an earlier one, and against
    instances that disagree after opposite orders have raced.
    When start, start, end, end and start are ordered for a data centre, then 40 at once
    Then each is acknowledged and all instances agree with the last one applied

  Scenario: No more than 1,000 data centres are evacuated
    Guards against orders that fill the memory and the snapshots of all instances.
    When 1000 data centres are evacuated
    Then one more is refused with 400, and one of the 1000 is accepted again

  Scenario Outline: Names of data centres
    Guards against an order whose name is cut, misread or breaks the instance.
    When an evacuation of "<name>" is ordered, <times> times the name
    Then the response has status <status>

    Examples:
      | name     | times | status |
      | athens-1 | 1     | 200    |
      | %C3%A9   | 200   | 200    |
      | a%2Fb    | 1     | 200    |
      | x        | 201   | 400    |
      | x        | 0     | 400    |
      | %FF      | 1     | 400    |
      | %2       | 1     | 400    |

  Scenario: The replicated log does not confirm an order
    Guards against an order that is acknowledged and lost.
    When the replicated log does not confirm an order, and a leader ignores one
    Then both are answered with 503

  Scenario: Snapshots of this version and of the last landing
    Guards against an update, or a way back, that loses the routing document or fails.
    Given a state with a routing document and two evacuated data centres
    Then its snapshot restores both, and a later one without evacuations ends them
    And version fbd1f5f restores the routing document from it
    And the snapshot of version fbd1f5f restores the document and no evacuations

  Scenario Outline: Requests avoid an evacuated data centre
    Guards against first attempts, retries and hedges that are sent there, and against a
    request that is refused late or as if it could have run.
    Given a service with <here> replicas here and <there> in an evacuated data centre
    When 20 requests are sent to replicas that <action>
    Then no replica there got a request, and the outcome is <outcome>

    Examples:
      | here | there | action | outcome         |
      | 2    | 2     | answer | answered        |
      | 2    | 2     | shed   | request_not_run |
      | 2    | 2     | answer in 300 ms | answered |
      | 0    | 3     | answer | request_not_run |

  Scenario: Exchanges that wait for a connection move elsewhere
    Guards against requests that are sent after the evacuation because they were queued
    before, and against the loss of work that was already running.
    Given a replica with one connection, in use by a request of 600 ms, and 3 queued
    When its data centre is evacuated
    Then the 3 fail as not sent within 400 ms, and the first is answered

  Scenario Outline: All instances together spare a cold replica
    Guards against a rate that each instance keeps to and all together exceed.
    Given <count> instances that share <rate> requests a second, up to 1.5 times and 5
    When they get <load> requests a second with skewed load for 40 seconds
    Then no second has more requests to the cold replica than allowed, and <least> in all

    Examples:
      | count | rate | load | least |
      | 1     | 10   | 100  | 100   |
      | 6     | 2    | 60   | 40    |
      | 12    | 10   | 200  | 200   |
      | 78    | 5    | 300  | 40    |

  Scenario Outline: The list of instances changes while a replica is cold
    Guards against a rate that doubles while some instances have the old list and others
    the new one, or while an instance is cut off from the others.
    Given <count> instances that share <rate> requests a second, up to 1.5 times and 5
    And instances leave, return and are cut off, which others learn up to 2 s later
    When they get 2000 requests a second with skewed load for 30 seconds
    Then no second has more requests to the cold replica than allowed, and 20 in all

    Examples:
      | count | rate |
      | 6     | 10   |
      | 12    | 5    |
      | 78    | 10   |

  Scenario: Shares of unusual limits
    Guards against a limit that is exceeded because it is smaller than one instance's part.
    Then the holders of each limit keep to it

  Scenario: The warm-up of a replica
    Guards against a limit that ends early, late or never, and against a replica that is
    not spared when it becomes cold again.
    Given the only instance and a service with a cold replica
    When its notice says that it warms up for 3000 ms
    Then a retry and a hedge are not sent to it right after a request
    And an older notice that arrives 2000 ms later changes nothing
    And it is limited until 3000 ms after its notice, not longer
    When its notice says that it warms up for 0 ms
    Then it is not limited
    When its notice says that it warms up for 5000 ms
    Then it is limited until 5000 ms after its notice, not longer
    When it starts again and its notice says that it warms up for 4000 ms
    Then it is limited until 4000 ms after its notice, not longer

  Scenario: A warm-up that is repeated or prolonged
    Guards against instances that get short notices and end the limit too early.
    Given the only instance and a service with a cold replica
    When its notice says that it warms up for 3000 ms
    And 2900 ms later a short notice repeats that it still warms up
    Then it is limited until 3 notice intervals after that
    And a longer warm-up is told to the other instances in full

  Scenario: A warm-up is known to instances behind relays
    Guards against instances that end the limit early, because short notices do not state
    the time left and relays do not pass on repeated ones.
    Given 30 instances in 6 data centres, 5 of them relays
    When a replica warms up for 40 s, and after 10 s for 60 s again
    Then each instance counts it as cold until it is warm, and at most 12 s longer

  Scenario: The end of a warm-up is not told to instances that do not need it
    Guards against bytes between data centres in fleets without a limit: a relay sent each
    replica again every 2 s while it warmed up.
    Given 30 instances in 6 data centres, 5 of them relays
    And no service states the rate that its cold replicas bear
    When a replica warms up for 40 s, and after 10 s for 60 s again
    Then instances behind relays count it as cold for 40 s

  Scenario: The routing document states no rate for cold replicas
    Guards against a limit where the operator asked for none.
    Given the only instance and a service with a cold replica
    And the routing document states no rate
    When its notice says that it warms up for 3000 ms
    Then it is not limited

  Scenario: Gateway processes evacuate a data centre
    Guards against parts that work alone and not together, and against an order that is
    forgotten when all gateways are killed and one loses its disk.
    Given 3 gateways, 4 shards and a service
    When the evacuation of zone-2 is ordered
    Then after 5 s no request, and no new connection, reaches a replica of zone-2
    When all gateways are killed and one loses its disk, and they start again
    Then after 5 s no request, and no connection, reaches a replica of zone-2
    When the end of the evacuation is ordered
    Then replicas of zone-2 get requests again

  Scenario: Gateway processes spare a cold replica
    Guards against a limit that each gateway keeps to and all together exceed, and against
    a replica that gets nothing while it warms up.
    Given 3 gateways, 4 shards and a service
    And a replica that bears 2 requests a second warms up for 12 s, and the others shed
    When 600 requests are sent to the service through all gateways in 10 s
    Then it gets some of them, and at most 8 in any second
