Feature: The configuration on the platform

  Scenario: A daemon without a configuration refuses requests as not run
    Given no configuration has been written
    When 2 seconds pass
    Then a look-up at any daemon gets 503

  # Guards against: the task that forgets unlisted backend servers ends for good at a
  # daemon that waits for its first configuration.
  Scenario: The tasks of a daemon outlast a start without a configuration
    Given no configuration has been written
    And the log is captured
    When 15 seconds pass
    Then no task of the daemon has failed

  Scenario: A key that was removed is refused within the time limit
    Given a platform with 1 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    When version 2 of the configuration is written without any key
    And 1 seconds pass
    Then a look-up at any daemon gets 401

  Scenario: An older version never replaces a newer one
    Given a platform with 1 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    When version 5 of the configuration is written
    And 1 seconds pass
    And version 3 of the configuration is written
    And 1 seconds pass
    Then the version in force is 5

  Scenario: An invalid configuration leaves the previous one in force
    Given a platform with 1 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    When an invalid configuration is written
    And 1 seconds pass
    Then the version in force is 1
    And a look-up at any daemon gets 200

  Scenario: A version whose event was dropped from the store's history is still applied
    Given a platform with 1 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    When version 4 of the configuration is written
    And the store drops its history
    And 2 seconds pass
    Then the version in force is 4

  Scenario: Decoding of settings and entries that other programs write
    Then settings without platformInfo are refused, and the error names the field
    And settings with an unknown field are accepted
    And the entry {service: x} is not decoded as a backend server
    And the entry {service: x, addr: 1, zone: z, state: ready} is not decoded as a backend server
    And the entry {service: x, addr: "a:1", zone: z, state: [ready]} is not decoded as a backend server
    And the entry [1, 2] is not decoded as a backend server

  Scenario: A version is in force in time although two daemons relay to each other
    Given a platform with 1 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    When two daemons other than the leader use each other as relay
    And version 2 of the configuration is written
    And 0.8 seconds pass
    And version 3 of the configuration is written
    And 1.8 seconds pass
    Then the version in force is 3

  Scenario: Daemons whose relay has lost the store apply a new version in time
    Given a platform with 1 fabric domains of 8 replicas and 4 daemons
    And its groups are open
    When the store stops answering the relay
    And version 2 of the configuration is written
    And 1.9 seconds pass
    Then the version in force at all other daemons is 2

  Scenario: A watch that the store silently dropped does not delay a new version
    Given a platform with 1 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    When version 2 of the configuration is written
    And 0.1 seconds pass
    And the store is silent
    And 4 seconds pass
    And the store is up
    And 1 seconds pass
    And version 3 of the configuration is written
    And 2 seconds pass
    Then the version in force is 3

  Scenario Outline: Daemons are up to date 3 seconds after the store answers again
    Given a platform with 1 fabric domains of 8 replicas and 4 daemons
    And its groups are open
    When the store is silent to <whom> for <seconds> seconds, and version 2 is written halfway through
    And 3 seconds pass
    Then the version in force is 2

    Examples:
      | whom         | seconds |
      | everybody    | 6.57    |
      | everybody    | 7.25    |
      | every daemon | 7.76    |
      | every daemon | 8.44    |

  Scenario: A large version is in force in time on slow links after an outage
    Given a platform with 1 fabric domains of 8 replicas and 4 daemons
    And its groups are open
    When the answers of the store arrive at 200000 bytes a second
    And the store is silent
    And 3 seconds pass
    And version 2 of the configuration is written with 1000 more routes
    And the store is up
    And 4 seconds pass
    Then the version in force is 2

  # Guards against: a caller whose request meets a daemon that has just started spends its
  # only retry at once, on another one that has just started.
  Scenario: A daemon that knows no configuration yet says when to come back
    Given a platform with 1 fabric domains of 8 replicas and 3 daemons
    When the store is silent
    And every daemon is killed and started again
    And 0.5 seconds pass
    And 5 look-ups are requested
    And 0.1 seconds pass
    Then each look-up is refused with 503 and asked to return within 0.1 to 0.5 seconds
