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

  Scenario: A daemon that restarts knows what is quarantined before it is ready
    Given the part "deadly" crashes each replica that begins to write on it
    When 30 streams arrive each second for 6 seconds, and 0.1 of them have the part "deadly"
    And every daemon is killed and started again
    And every daemon has loaded the list of quarantined parts
    Then every daemon refuses a request with the part "deadly" as not run, at once

  Scenario Outline: Requests with the part stop although <what> (BUDGET)
    Given the part "deadly" crashes each replica that begins to write on it
    When <what> while streams with the part "deadly" arrive for 20 seconds
    Then at most 3 requests with "deadly" were sent later than 3 seconds after the fifth crash

    Examples:
      | what                                            |
      | the leader is killed after 2 crashes            |
      | the leader is killed after 4 crashes            |
      | a relay is cut off after 2 crashes              |
      | the store forgets its history after 3 crashes   |
      | calls to the leader fail for 1 s after 1 crash  |

  # Guards against: requests that wait at a replica when their part is quarantined crash it.
  Scenario: A request that waits for its first event is ended once its part is quarantined
    Given every replica of the model service is 20 times slower
    When 1 streams with the parts "system" and "late" are requested
    And 0.2 seconds pass
    And the part "llm/late" is quarantined
    And 1 seconds pass
    Then the first stream got 502 and has an attempt that was withdrawn

  # Guards against: a sound part that was present at several crashes stays refused.
  Scenario: A part that was wrongly quarantined is served again within 3 seconds
    When heads crash under 2 new requests with the part "fresh", 3 in all
    Then the part "fresh" is quarantined
    And requests with the part "fresh" are served again within 3 seconds

  Scenario: A part that another daemon has seen answered is released without a trial
    When heads crash under 2 new requests with the part "first-0", 3 in all
    And 1 seconds pass
    Then the part "first-0" is not quarantined
    And requests with the part "first-0" are served again within 1 seconds

  # Guards against: sound requests are refused for a part that daemons know from deadly
  # requests alone.
  Scenario: A sound part that only deadly requests had is released by the first sound request
    Given the part "deadly" crashes each replica that begins to write on it
    When requests with the parts "rare" and "deadly" arrive until both are quarantined
    Then requests with the part "rare" are served again within 3 seconds
    And the part "rare" is not quarantined
    And the part "deadly" is quarantined
    And at most 5 replicas crashed

  # Guards against: a trial is ended because it is slow, although it cannot be sent again.
  Scenario: A slow trial that cannot be repeated runs to its end
    Given streams cannot be resumed
    When the part "llm/late" is quarantined
    And 1 seconds pass
    And 1 streams with the parts "system" and "late" are requested
    And 1.2 seconds pass
    And every replica of the model service is 30 times slower
    And 1 streams with the parts "system" and "late" are requested
    And 0.7 seconds pass
    And every replica of the model service is 1 times slower
    And 5 seconds pass
    Then the first stream is a trial that was answered
