Feature: The platform's store fails

  Background:
    Given a platform with 3 fabric domains of 8 and 3 daemons
    And its groups are open

  Scenario Outline: Requests are served while the store is away
    When the store is <state>
    And 6 seconds pass
    And 6 streams of model large are requested
    And 8 seconds pass
    Then every stream is whole, each event once

    Examples:
      | state  |
      | down   |
      | silent |

  Scenario: Entries that lapsed during an outage are believed until they return
    When the store is down
    And 4 seconds pass
    And every entry of model replicas lapses
    And the store is up
    And 1.5 seconds pass
    And 6 streams of model large are requested
    And every model replica writes its entry again
    And 8 seconds pass
    Then every stream is whole, each event once
    And fewer than 1 model loads were started after the first request
    And no promise about groups was broken

  Scenario: A daemon whose relay is lost asks another relay
    When the relays of front-2 are front-0 and, in another zone, front-1
    And 7 seconds pass
    And front-0 is killed
    And 10 versions of the configuration are written, one each 0.4 seconds
    Then front-2 has the last version, and made no more than 6 watches meanwhile
