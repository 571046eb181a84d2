Feature: Limits on requests that replicas name

  # Guards against: each daemon goes on by load alone when a replica names its limit.
  Scenario Outline: A replica that names a limit gets no more than it allows (LIMIT)
    Given a platform with 6 fabric domains of 8 replicas and <daemons> daemons
    And its groups are open
    And <share> of the heads of model large name a limit of <limit> requests a second
    When <rate> streams of model large arrive each second at all daemons for 14 seconds
    Then from 3 seconds after it named its limit each head got at most 1.5 times that, and 5, in any 4 seconds
    And at least 0.97 of the streams began at the first attempt

    Examples:
      | daemons | share | limit | rate |
      | 6       | 0.7   | 1.6   | 24   |
      | 6       | 0.5   | 3.2   | 40   |
      | 60      | 0.7   | 1.6   | 24   |

  # Without any limit, a quarter of these streams is refused by replicas that are full:
  # no daemon sends enough to know how full they are.
  Scenario: A replica that names a limit to hundreds of daemons gets no more than it allows (LIMIT)
    Given a platform with 6 fabric domains of 8 replicas and 195 daemons
    And its groups are open
    And 0.7 of the heads of model large name a limit of 1.6 requests a second
    When 24 streams of model large arrive each second at all daemons for 14 seconds
    Then from 3 seconds after it named its limit each head got at most 1.5 times that, and 5, in any 4 seconds

  # Guards against: two daemons give out the permits of one replica, or none does.
  Scenario Outline: The limit is kept although <what> (LIMIT)
    Given a platform with 6 fabric domains of 8 replicas and 6 daemons
    And its groups are open
    And 0.7 of the heads of model large name a limit of 1.6 requests a second
    When 24 streams of model large arrive each second at all daemons for 3 seconds
    And <what> while 24 streams of model large arrive each second for 12 seconds
    Then from 3 seconds after it named its limit each head got at most 1.5 times that, and 5, in any 4 seconds
    And at least 0.9 of the streams began at the first attempt

    Examples:
      | what                                        |
      | the leader is killed                        |
      | each daemon is stopped and started in turn  |
      | half of the daemons are killed              |
      | calls between two daemons fail              |
      | the store is silent                         |

  # Guards against: a daemon keeps a share of a limit that it does not use.
  Scenario Outline: A limit is used in full by whoever has requests
    Given a platform with 6 fabric domains of 8 replicas and <daemons> daemons
    And its groups are open
    And 1.0 of the heads of model large name a limit of 2 requests a second
    When 30 streams of model large arrive each second at <where> for 10 seconds
    Then from 3 seconds after it named its limit each head got at least 0.8 times that a second

    Examples:
      | daemons | where       |
      | 6       | front-0     |
      | 6       | all daemons |
      | 60      | all daemons |

  # Guards against: a daemon goes on keeping a limit that has ended elsewhere.
  Scenario Outline: A limit that <what> is followed by all daemons
    Given a platform with 6 fabric domains of 8 replicas and <daemons> daemons
    And its groups are open
    And 1.0 of the heads of model large name a limit of 1 requests a second
    When 24 streams of model large arrive each second at all daemons for 6 seconds
    And their limit becomes "<text>"
    And 24 streams of model large arrive each second at all daemons for 3 seconds
    And 24 streams of model large arrive each second at all daemons for 6 seconds
    Then at least <share> of the streams began at the first attempt

    Examples:
      | what           | text | daemons | share |
      | ends           | none | 6       | 0.95  |
      | ends           | none | 60      | 0.95  |
      | becomes larger | 9    | 6       | 0.95  |

  # Guards against: a refusal names a time at which the caller is refused again.
  Scenario: Callers who return when they were told to are served
    Given a platform with 6 fabric domains of 8 replicas and 6 daemons
    And its groups are open
    And 1.0 of the heads of model large name a limit of 4 requests a second
    When 24 streams of model large arrive each second at all daemons for 3 seconds
    And 40 streams of model large arrive each second at all daemons for 1 seconds
    And no more arrive but those refused, when they were told to
    Then at least 0.9 of those who returned were served

  Scenario Outline: A limit of "<text>" is <meaning>
    Given a platform with 6 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And the log is captured
    And 1.0 of the heads of model large name a limit of 9 requests a second
    And their limit becomes "<text>"
    When 12 streams of model large arrive each second at all daemons for 4 seconds
    Then the log has <lines> line "<event>" for these heads
    And between <least> and <most> of the streams began

    Examples:
      | text  | meaning                   | lines | event              | least | most |
      | -1    | no limit, and logged      | a     | limit not readable | 1.0   | 1.0  |
      | nan   | no limit, and logged      | a     | limit not readable | 1.0   | 1.0  |
      | inf   | no limit, and logged      | a     | limit not readable | 1.0   | 1.0  |
      | many  | no limit, and logged      | a     | limit not readable | 1.0   | 1.0  |
      | 1e300 | no limit                  | no    | limit named        | 1.0   | 1.0  |
      | 0     | one request in 4 seconds  | a     | limit named        | 0.1   | 0.8  |

  Scenario: The log says which limit a replica named, and that it ended
    Given a platform with 6 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And the log is captured
    And 0.7 of the heads of model large name a limit of 1.6 requests a second
    When 24 streams of model large arrive each second at all daemons for 3 seconds
    And their limit becomes "none"
    And 24 streams of model large arrive each second at all daemons for 3 seconds
    Then the log has a line "limit named" for each of these heads, with 1.6 and then none

  # Guards against: a replica that says in its answers that it leaves gets requests until
  # the list says so as well.
  Scenario Outline: A replica that says that it leaves gets no new requests (DRAIN)
    Given a platform with 3 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    When 30 look-ups are requested, 20 a second
    And <who> says in its answers that it leaves, and <more>
    And 30 look-ups are requested, 20 a second
    And <who> is noted to have been told of
    And 60 look-ups are requested, 20 a second
    Then <who> got no request since

    Examples:
      | who             | more                    |
      | plain replica 0 | the list does not       |
      | plain replica 0 | the store is down       |

  # Guards against: a replica that asked for quiet gets requests all the same.
  Scenario Outline: A replica that turns requests away for <seconds> seconds is left alone (BUDGET)
    Given a platform with 3 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And the log is captured
    When plain replica 0 turns requests away and asks for "<seconds>" seconds of quiet
    And 80 look-ups are requested, 20 a second
    Then each daemon sent it between <least> and <most> requests
    And all look-ups were answered

    Examples:
      | seconds | least | most |
      | 8.5     | 1     | 3    |
      | 1e300   | 1     | 3    |
      | -1      | 3     | 40   |
      | soon    | 3     | 40   |

  Scenario: Callers are told to return after the quiet that all replicas ask for
    Given a platform with 3 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    When every plain replica turns requests away and asks for "1.5" seconds of quiet
    And 40 look-ups are requested, 20 a second
    Then those refused were told to return no earlier than the quiet ends
