Feature: Logs are bounded and never waited for

  Scenario: Too many lines
    Guards against logs that take the processor under load.
    When 5000 lines are logged in one second
    Then at most 1800 are written, each whole, and the others are counted

  Scenario: The reader is behind
    Guards against a process that waits for whoever reads its logs.
    When 1400 lines of 200 bytes are logged that nobody reads
    Then logging has not waited and the reader gets whole lines
