Feature: What one daemon sends is known to the others

  # Guards against: each daemon sees a hundredth of the traffic, and replicas reject
  # a fifth of what they get beside others that are idle.
  Scenario Outline: Requests are spread evenly, however many daemons there are
    Given <daemons> daemons that spread a load of <load> over 18 groups of 24 slots
    When 3 of the groups open after 5 seconds and the load lasts 12 seconds
    Then with "shared load" the busiest group has at most 2 times the mean
    And with "shared load" replicas reject at most 0.02 of the arrivals
    And "shared load" serves within 0.1 of "oracle"
    And the figures of "two random choices" and "least known load" are printed

    Examples:
      | daemons | load |
      | 6       | 0.8  |
      | 60      | 0.8  |
      | 118     | 0.8  |
      | 195     | 0.8  |
      | 118     | 0.95 |
      | 195     | 1.2  |

  Scenario: Requests of the others are added up from daemon to daemon
    Given 3 availability zones with 4 daemons each that tell each other their requests
    When daemon 0 has 3 requests at "i-1" and daemon 7 has 2 there
    And 2 seconds pass in the exchange
    Then daemon 11 knows of 5 requests at "i-1", at most 0.7 seconds old
    And daemon 0 knows of 2 requests at "i-1"
    And no daemon makes more than 25 calls a second

  Scenario: Knowledge of the others outlives the loss of relays, not of its owners
    Given 3 availability zones with 4 daemons each that tell each other their requests
    When daemon 0 has 3 requests at "i-1" and daemon 7 has 2 there
    And 1 second passes in the exchange
    And the relay of daemon 11 ends
    And 2 seconds pass in the exchange
    Then daemon 11 knows of 5 requests at "i-1", at most 0.7 seconds old
    When daemon 7 ends
    And 2 seconds pass in the exchange
    Then daemon 11 knows of 3 requests at "i-1", at most 0.7 seconds old

  Scenario: Statements that make no sense are refused
    Given 1 availability zones with 2 daemons each that tell each other their requests
    When a daemon states nonsense
    Then it gets no answer, and daemon 1 knows of 0 requests at "i-1"

  # Guards against: slots are taken by requests whose callers have left, and a server that
  # reports absurd loads is never used again.
  Scenario Outline: Reports show requests that nobody waits for any more
    Given a group with 24 slots that others state <stated> requests at
    When it reports <reported> requests to each of 5 answers
    Then <expected> requests are expected there

    Examples:
      | stated | reported   | expected |
      | 10     | 16         | 16       |
      | 10     | 4          | 10       |
      | 10     | 1000000000 | 22       |

  Scenario: Daemons for whose callers room is scarce serve streams and know of each other
    Given a platform of shared pools with 1 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And a first request has been answered
    When 4 streams of model small arrive each second at all daemons for 10 seconds
    And 3 seconds pass
    Then the last 40 streams are complete, with each event exactly once
    And each daemon knows the requests of 2 others, and the pace of each head
    When every other daemon is killed and 2 seconds pass
    Then the daemon that is left knows of no others
