Feature: The list of daemons

  Background:
    Given a platform with 2 fabric domains of 8 replicas and 5 daemons
    And its groups are open

  Scenario: A daemon that ended without a stop is removed from the list
    When a daemon other than the leader is killed
    And 20 seconds pass
    Then every daemon counts 4 daemons

  Scenario: A daemon that only the leader cannot reach stays in the list
    When the leader cannot call another daemon
    And 40 seconds pass
    Then every daemon counts 5 daemons
    And no daemon was removed from the list

  Scenario: A daemon that is reached again within ten seconds stays in the list
    When nobody can call one of the daemons for 8 seconds
    And 20 seconds pass
    Then every daemon counts 5 daemons
    And no daemon was removed from the list

  Scenario: A daemon that was removed by mistake registers again
    When the object of a daemon is deleted
    And 3 seconds pass
    Then every daemon counts 5 daemons

  Scenario: A daemon that starts again at another address is listed there
    When a daemon is killed, and its object has another address
    And the daemon is started again
    And 3 seconds pass
    Then every daemon knows its present address

  Scenario: A new daemon is counted by all others
    When 2 more daemons are started
    And 3 seconds pass
    Then every daemon counts 7 daemons

  Scenario: A relay whose copy is older, but fresh, is asked again
    Given the log is captured
    When a daemon other than the leader is killed and started again
    And 30 seconds pass
    Then no relay was dropped by it
    And every daemon counts 5 daemons

  Scenario: Daemons read their first copies from relays
    When 10 more daemons are started
    And 4 seconds pass
    Then the new daemons know the configuration and the backend servers
    And no new daemon read more of the store than the list of daemons

  Scenario: A daemon that starts without the store gets its copies from a relay, also late
    When a daemon is started, reaches nobody for 4 seconds, and the store never again
    And 6 seconds pass
    Then it knows the configuration and the backend servers

  Scenario: The calls to the store do not grow with the number of daemons
    When the calls to the store are counted for 20 seconds
    And 10 more daemons are started
    And 10 seconds pass
    And the calls to the store are counted for 20 seconds
    Then the second count, without reads of the lease, is at most 1.2 times the first

  Scenario Outline: Relays are the daemons with the largest capacity, then the lowest ids
    Given daemons a to <last> of one zone, of which <strong> has 4 cores and 100 Mbit/s
    Then the relays are <relays> and the candidates are <candidates>

    Examples:
      | last | strong | relays | candidates |
      | c    | b      | b      | b a        |
      | z    | y      | y a    | y a b      |
