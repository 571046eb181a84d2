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

  # Guards against: a daemon that cannot learn whether the store was away puts removals
  # off for longer than servers that leave serve on (DRAIN).
  Scenario Outline: <who>, cut off for <cut> s, drops a replica that leaves <later> s later though no daemon <answers>
    Given a platform with 3 fabric domains of 8 replicas and 6 daemons
    And its groups are open
    When no daemon <answers> about the store
    And the calls of <who> to the store are unanswered for <cut> seconds
    And <later> seconds pass
    And look-ups arrive at every daemon, 60 a second
    And 0.1 seconds pass
    And the entries of plain replicas 0 and 1 are removed one second apart, and watched for 3 seconds
    Then no daemon sent them a request later than 1 seconds after it knew
    And no plain replica got a request later than 2 seconds after its entry was removed
    And every look-up was answered

    Examples:
      | who                     | cut | later | answers          |
      | the leader              | 2.5 | 0.0   | answers          |
      | the leader              | 5.5 | 0.8   | answers in time  |
      | the relay               | 5.5 | 0.0   | answers          |
      | the relay               | 5.5 | 0.8   | answers          |
      | all but the last daemon | 5.5 | 0.0   | answers          |
      | all but the last daemon | 5.5 | 0.4   | answers in time  |
      | every daemon            | 5.5 | 0.0   | answers          |
      | every daemon            | 2.5 | 0.4   | answers          |
      | every daemon            | 5.5 | 0.8   | answers in time  |

  # Guards against: for how long the store has answered is passed on as it was when the
  # answer was first made, so that each daemon on the way adds to the time.
  Scenario: A daemon that is told of a removal knows for how long the store has answered
    Given a platform with 3 fabric domains of 8 replicas and 6 daemons
    And its groups are open
    When each daemon asks the leader for the same changes, 0.1 seconds apart
    Then each is told a time that is longer by 0.1 seconds

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

  # Guards against: a daemon learns late that a server leaves, since the daemon that it
  # asks has frozen (DRAIN).
  Scenario Outline: The others learn in time of a removal <after> seconds after <who> freezes
    Given a platform with 3 plain replicas alone and 9 daemons in three availability zones
    When look-ups arrive at every daemon, 60 a second
    And 1 seconds pass
    And <who> freezes for <after> seconds, which the others do not know
    And the entries of the first 1 plain replicas are removed
    And 3 seconds pass
    Then no plain replica got a request later than 2 seconds after its entry was removed

    Examples:
      | who        | after |
      | the leader | 0.0   |
      | the leader | 0.3   |
      | the leader | 0.8   |
      | the relay  | 0.0   |
      | the relay  | 0.3   |
      | the relay  | 0.8   |
      | the relay  | 1.4   |

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

  # Guards against: a request is sent to the backend server that was chosen for it, although
  # it has been told to leave while the request waited (DRAIN).
  Scenario Outline: A request that waits for <what> does not reach a replica that leaves meanwhile
    Given a platform with 3 plain replicas alone and 3 daemons
    When a booking for plain replica 0 waits at the leader for <what>
    And plain replica 0 <leaves>
    And the booking waits no longer after 0.35 seconds
    And 1 seconds pass
    Then plain replica 0 has run nothing
    And the booking was answered

    Examples:
      | what         | leaves                         |
      | a connection | reports that it is draining    |
      | a connection | says to another that it leaves |
      | a connection | is removed from the list       |
      | a permit     | reports that it is draining    |
      | a permit     | is removed from the list       |

  # Guards against: a paused process goes on with a send that it had prepared.
  Scenario: A request that was about to be sent before a pause waits for news after it
    Given a platform with 3 plain replicas alone and 4 daemons
    When a daemon other than the leader hears nothing, and version 2 removes every key
    And it has a booking for plain replica 0, which waits for a connection
    And plain replica 0 is removed from the list
    And 0.3 seconds pass
    And its process turns out to have been paused for 5 seconds
    And it hears the others again after 0.2 seconds
    And 1 seconds pass
    Then plain replica 0 has run nothing
    And the booking was answered

  # Guards against: a request is held beyond its deadline for news after a pause.
  Scenario: A request that a pause kept from being sent is refused by its deadline
    Given a platform with 3 plain replicas alone and 4 daemons
    When a daemon other than the leader hears nothing, and version 2 removes every key
    And it has a booking for plain replica 0, which waits for a connection
    And 0.3 seconds pass
    And its process turns out to have been paused for 5 seconds
    And 0.94 seconds pass
    Then the booking was refused as not run
