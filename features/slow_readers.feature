@slow_readers
Feature: Callers that nobody controls cannot exhaust a process

  Scenario Outline: A crowd holds what a process gives it
    Guards against a process that ends, or takes the memory and the descriptors of its
    whole machine, because callers read slowly or do not complete their requests.
    Given a gateway with <memory> MB, <descriptors> descriptors and responses of 3,000,000 bytes
    When a crowd of <count> <crowd> stays for 12 s
    Then the gateway lives within <memory> MB and <descriptors> descriptors
    And it answers an ordinary request afterwards

    Examples:
      | crowd                           | count | memory | descriptors |
      | slow readers                    | 250   | 100    | 1500        |
      | slow readers                    | 1000  | 100    | 1500        |
      | idle connections                | 400   | 100    | 300         |
      | unfinished bodies               | 600   | 100    | 1500        |
      | unfinished documents            | 60    | 100    | 1500        |
