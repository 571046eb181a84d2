Feature: Backend servers that leave get no new requests

  # Guards against: one daemon's trouble with the store is taken for the store's, and puts
  # off what the other daemons know to be gone (DRAIN).
  Scenario Outline: A replica whose entry is removed after <who> was cut off gets no requests
    Given a platform with 3 fabric domains of 8 replicas and 6 daemons
    And its groups are open
    When the calls of <who> to the store are <calls> for <cut> seconds
    And <later> seconds pass
    And look-ups arrive at every daemon, 60 a second
    And 1 seconds pass
    And the entries of plain replicas 0 and 1 are removed one second apart
    And 3 seconds pass
    Then no plain replica got a request later than 1 seconds after its entry was removed
    And every look-up was answered

    Examples:
      | who                     | calls      | cut | later |
      | the leader              | unanswered | 2.2 | 0.0   |
      | the relay               | unanswered | 5.5 | 0.0   |
      | the relay               | refused    | 5.5 | 0.0   |
      | another daemon          | unanswered | 5.5 | 0.0   |
      | all but the last daemon | unanswered | 5.5 | 0.0   |
      | nobody                  | unanswered | 5.5 | 0.0   |

  # Guards against: a server of a small list is a large share of it, and taken for lapsed.
  Scenario Outline: <leaving> of <plain> replicas of a deployment leave
    Given a platform with <plain> plain replicas alone and <daemons> daemons
    When look-ups arrive at every daemon, 60 a second
    And 1 seconds pass
    And the entries of the first <leaving> plain replicas are removed
    And 3 seconds pass
    Then no plain replica got a request later than 1 seconds after its entry was removed

    Examples:
      | leaving | plain | daemons |
      | 1       | 1     | 3       |
      | 1       | 2     | 3       |
      | 1       | 3     | 3       |
      | 2       | 3     | 6       |
      | 3       | 3     | 1       |

  # Guards against: live replicas are given up because their entries lapsed with the store,
  # or replicas that are gone stay in use for longer than they serve (DRAIN).
  Scenario Outline: Entries that lapsed while the store was away for <away> seconds
    Given a platform with 3 fabric domains of 8 replicas and 6 daemons
    And its groups are open
    When look-ups arrive at every daemon, 60 a second
    And the store is down
    And <away> seconds pass
    And the entries of the first 3 plain replicas are removed
    And the store returns
    And <back> seconds pass
    And plain replicas 1 and 2 write their entries again
    And 4 seconds pass
    Then plain replica 0 got no request later than 2 seconds after a daemon reached the store
    And every look-up was answered

    Examples:
      | away | back |
      | 4    | 0.5  |
      | 4    | 1.2  |
      | 9    | 1.2  |
