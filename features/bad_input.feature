Feature: Invalid input gets a typed error and does not disturb other requests

  Guards against a malformed, oversized, slow or truncated request that takes an
  instance down, blocks other callers or is answered with an untyped error.

  Scenario: Invalid HTTP requests
    Given 1 entry instances and a service of 2 shards with 1 replicas
    Then these raw requests get these replies
      | request                                                        | status | code              |
      | GARBAGE\r\n\r\n                                                | 400    | malformed_request |
      | POST /v1/search HTTP/1.1\r\n\r\n                               | 400    | malformed_request |
      | GET /nothing HTTP/1.1\r\nhost: a\r\n\r\n                       | 404    | unknown_route     |
      | GET /v1/search HTTP/1.1\r\nhost: a\r\n\r\n                     | 404    | unknown_route     |
      | POST /v1/search HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n{LONG} | 413 | request_too_large |
      | GET / HTTP/1.1\r\nhost: a\r\nx: {LONG}                         | 413    | request_too_large |
      | POST /v1/search HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{}  | 408 | request_too_slow  |
    And a client closes its connection in the middle of a request
    And a search still includes 2 of 2 shards

  Scenario: Invalid searches
    Given 1 entry instances and a service of 2 shards with 1 replicas
    Then these searches get these errors
      | body                                                              | status | code              | not_run |
      | {                                                                 | 400    | malformed_request | true    |
      | []                                                                | 400    | malformed_request | true    |
      | {"service": 1, "terms": "a"}                                      | 400    | malformed_request | true    |
      | {"service": "kallioniemi/invoices"}                               | 400    | malformed_request | true    |
      | {"service": "kallioniemi/invoices", "terms": "a", "limit": 0}     | 400    | malformed_request | true    |
      | {"service": "kallioniemi/invoices", "terms": "a", "deadline_ms": -5} | 504 | deadline_passed   | true    |
      | {"service": "kallioniemi/nothing", "terms": "a"}                  | 404    | unknown_service   | true    |
    And a search still includes 2 of 2 shards

  Scenario: Invalid announcements
    Given 1 entry instances and a service of 2 shards with 1 replicas
    Then a valid announcement with these changes gets these errors
      | field        | value           | status | code               |
      | host         | "nowhere"       | 400    | bad_announcement   |
      | host         | "0.0.0.0"       | 400    | bad_announcement   |
      | host         | "224.0.0.1"     | 400    | bad_announcement   |
      | port         | 0               | 400    | bad_announcement   |
      | port         | 70000           | 400    | bad_announcement   |
      | state        | "dancing"       | 400    | bad_announcement   |
      | service      | ""              | 400    | bad_announcement   |
      | slots        | 0               | 400    | bad_announcement   |
      | connections  | -1              | 400    | bad_announcement   |
      | sequence     | -1              | 400    | bad_announcement   |
      | sequence     | 1000000000000000000000000000000 | 400 | bad_announcement |
      | incarnation  | 1000000000000000000000000000000 | 400 | bad_announcement |
      | in_flight    | 1000000000000000000000000000000 | 400 | bad_announcement |
      | queued       | -1              | 400    | bad_announcement   |
      | host         | "::1"           | 400    | bad_announcement   |
      | holdings     | [{"version": 1000000000000000000000000000000, "layout": "mod", "shards": 2, "shard": 0}] | 400 | bad_announcement |
      | holdings     | [{"version": 1, "layout": "", "shards": 2, "shard": 0}] | 400 | bad_announcement |
      | connect_cost_ms | -1           | 400    | bad_announcement   |
      | slots        | "many"          | 400    | malformed_request  |
      | holdings     | [{"version": 1, "layout": "mod", "shards": 2, "shard": 2}]  | 400 | bad_announcement |
      | holdings     | [{"version": 1, "layout": "mod", "shards": 2, "shard": -1}] | 400 | bad_announcement |
      | holdings     | [{"version": 1, "layout": "mod", "shards": 0, "shard": 0}]  | 400 | bad_announcement |
      | holdings     | [{"version": 1, "layout": "other", "shards": 2, "shard": 0}] | 400 | bad_announcement |
      | holdings     | [{"version": 1, "layout": "mod", "shards": 3, "shard": 0}]  | 400 | bad_announcement |
    And a search still includes 2 of 2 shards

  Scenario: Decoders return a result for any bytes
    Then decoding any bytes as a search, announcement or peer message returns a result

  Scenario: Messages that no instance sends arrive at the peer port
    Guards against memory that one message can fill, and against a message that ends the
    task which receives all others.
    When a message of 17 MB, one that its handler fails for and a usual one arrive
    Then the usual message alone is handled, and the failure is counted

  Scenario: All errors of a settings file are reported at once
    Given a settings file
      """
      [instance]
      name = entry-1
      host = localhost
      http_port = 99999
      colour = blue
      connection_share = 500
      [agreement]
      voters = entry-1 entry-7
      [peers]
      entry-2 = 127.0.0.1
      [operators]
      anna = short
      [unknown]
      key = 1
      """
    When check-settings reads it
    Then it exits with 3 and names these problems
      | section   | key         |
      | instance  | data_centre |
      | instance  | host        |
      | instance  | http_port   |
      | instance  | peer_port   |
      | instance  | colour      |
      | instance  | connection_share |
      | instance  | data_folder |
      | agreement | voters      |
      | peers     | entry-2     |
      | operators | anna        |
      | unknown   |             |
