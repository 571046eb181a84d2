Feature: Prompt parts that crash replicas

  Background:
    Given a platform with 6 fabric domains of 8 replicas and 6 daemons
    And its groups are open
    And streams of 12 first parts have been served for 6 seconds

  # Guards against: requests with one prompt part crash replicas one after the other.
  Scenario: Requests with a prompt part that crashes replicas stop being sent (BUDGET)
    Given the part "deadly" crashes each replica that begins to write on it
    When 30 streams arrive each second for 22 seconds, and 0.05 of them have the part "deadly"
    And 8 seconds pass
    Then at most 3 requests with "deadly" were sent later than 3 seconds after the fifth crash
    And at most 5 replicas crashed

  # Guards against: sound requests are refused for what they share with those that crash
  # replicas.
  Scenario: Sound requests that share the first part are served as others are (LOST)
    Given the part "deadly" crashes each replica that begins to write on it
    When 30 streams arrive each second for 40 seconds, and 0.05 of them have the part "deadly"
    And 8 seconds pass
    Then at least 0.95 of the sound streams of the same first part began at the first attempt from 6 seconds after the last crash that counts

  Scenario: The log names the parts of a request that was lost with its replica
    Given the part "deadly" crashes each replica that begins to write on it
    And the log is captured
    When 1 streams with the parts "system" and "deadly" are requested
    And 2 seconds pass
    Then the log lines "backend suspect" and "request ended" of the first stream name "deadly"
