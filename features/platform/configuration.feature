Feature: The configuration on the platform

  Scenario: A daemon that knows no configuration refuses as not run
    Given no configuration has been written
    When 2 seconds pass
    Then a look-up at any daemon gets 503

  Scenario: A key that was taken away is refused within the bound
    Given a platform with 1 fabric domains of 8 and 3 daemons
    And its groups are open
    When version 2 of the configuration has no key
    And 1 seconds pass
    Then a look-up at any daemon gets 401

  Scenario: An older version never replaces a newer one
    Given a platform with 1 fabric domains of 8 and 3 daemons
    And its groups are open
    When version 5 of the configuration is written
    And 1 seconds pass
    And version 3 of the configuration is written
    And 1 seconds pass
    Then the version in force is 5

  Scenario: A configuration that cannot be read leaves the last one in force
    Given a platform with 1 fabric domains of 8 and 3 daemons
    And its groups are open
    When a configuration that cannot be read is written
    And 1 seconds pass
    Then the version in force is 1
    And a look-up at any daemon gets 200

  Scenario: A version that was written while the history was dropped is seen
    Given a platform with 1 fabric domains of 8 and 3 daemons
    And its groups are open
    When version 4 of the configuration is written
    And the store forgets its history
    And 2 seconds pass
    Then the version in force is 4

  Scenario: Settings and entries from others
    Then settings without platformInfo are refused, and the problem names it
    And settings with an unknown field are accepted
    And the entry {service: x} names no backend server
    And the entry {service: x, addr: 1, zone: z, state: ready} names no backend server
    And the entry {service: x, addr: "a:1", zone: z, state: [ready]} names no backend server
    And the entry [1, 2] names no backend server

  Scenario: A version is in force in time though two daemons relay to each other
    Given a platform with 1 fabric domains of 8 and 3 daemons
    And its groups are open
    When two daemons that do not lead take each other for the relay
    And version 2 of the configuration is written
    And 0.8 seconds pass
    And version 3 of the configuration is written
    And 1.8 seconds pass
    Then the version in force is 3

  Scenario: Daemons whose relay lost the store see a version in time
    Given a platform with 1 fabric domains of 8 and 4 daemons
    And its groups are open
    When the relay is cut off from the store in silence
    And version 2 of the configuration is written
    And 1.9 seconds pass
    Then the version in force at all others is 2

  Scenario: A watch that the store swallowed does not hold a version back
    Given a platform with 1 fabric domains of 8 and 3 daemons
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

  Scenario Outline: Daemons are up to date 3 seconds after the store's silence ends
    Given a platform with 1 fabric domains of 8 and 4 daemons
    And its groups are open
    When the store is silent to <whom> for <seconds> seconds, and version 2 is written
    And 3 seconds pass
    Then the version in force is 2

    Examples:
      | whom         | seconds |
      | everybody    | 6.57    |
      | everybody    | 7.25    |
      | every daemon | 7.76    |
      | every daemon | 8.44    |
