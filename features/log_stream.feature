Feature: Logging is rate-limited and never blocks

  Scenario: Too many lines
    Guards against logging that takes up the processor under load.
    When 5000 lines are logged in one second
    Then at most 1800 are written, each whole, and the others are counted

  Scenario: The reader has fallen behind
    Guards against a process that blocks because nothing reads its logs.
    When 1400 lines of 200 bytes are logged while nothing is read
    Then logging has not blocked and the reader gets whole lines
