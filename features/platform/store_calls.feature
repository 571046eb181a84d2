Feature: Calls to the platform's store

  # Calls are priced: they may not grow with the fleet. The leader watches the store and
  # renews its lease, a relay reads the lease every 0.6 s.
  Scenario Outline: In calm, only the leader and the relays call the store (<daemons> daemons)
    Given a platform with <daemons> daemons in 3 availability zones
    When 8 s pass
    And each call to the store is counted by its daemon for 20 seconds
    Then no more than 2 calls a second were made for each relay, and 7 more
    And daemons that are neither leader nor relay made none

    Examples:
      | daemons |
      | 6       |
      | 60      |
      | 118     |

  # One call tries for all that a daemon follows whether the store is back.
  Scenario Outline: While the store is <state>, each daemon tries it by single calls (<daemons> daemons)
    Given a platform with <daemons> daemons in 3 availability zones
    When 8 s pass
    And the store is <state>
    And 2 s pass
    And each call to the store is counted by its daemon for 8 seconds
    Then no more than 2 calls a second were made for each daemon

    Examples:
      | daemons | state  |
      | 6       | down   |
      | 60      | down   |
      | 118     | down   |
      | 60      | silent |

  Scenario: A store that turns slow is read by no more daemons
    Given a platform with 60 daemons in 3 availability zones
    When 8 s pass
    And each answer of the store takes 0.35 seconds longer
    And each call to the store is counted by its daemon for 10 seconds
    Then no more than 2 calls a second were made for each relay, and 7 more
    And daemons that are neither leader nor relay made none
