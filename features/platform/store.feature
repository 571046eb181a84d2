Feature: Failures of the platform's store

  Background:
    Given a platform with 3 fabric domains of 8 replicas and 3 daemons
    And its groups are open

  Scenario Outline: Requests are served while the store is unavailable
    When the store is <state>
    And 6 seconds pass
    And 6 streams of model large are requested
    And 8 seconds pass
    Then every stream is complete, with each event exactly once

    Examples:
      | state  |
      | down   |
      | silent |

  Scenario: Entries that expired during an outage stay in use until they are written again
    When the store is down
    And 4 seconds pass
    And the entry of every model replica expires
    And the store is up
    And 1.5 seconds pass
    And 6 streams of model large are requested
    And every model replica writes its entry again
    And 8 seconds pass
    Then every stream is complete, with each event exactly once
    And fewer than 1 model loads were started after the first request
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: A daemon whose relay is lost switches to another relay
    When 2 more daemons are started
    And the relays of front-4 are front-0 and, in another zone, front-1
    And 7 seconds pass
    And front-0 is killed
    And 10 versions of the configuration are written, one every 0.4 seconds
    Then front-4 has the last version, and opened no more than 5 watches since the kill
