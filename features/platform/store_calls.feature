Feature: Calls to the platform's store

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
