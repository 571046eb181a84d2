Feature: Limits on requests that replicas name

  # Guards against: each daemon goes on by load alone when a replica names its limit.
  Scenario Outline: A replica that names a limit gets no more than it allows (LIMIT)
    Given a platform with 6 fabric domains of 8 replicas and <daemons> daemons
    And its groups are open
    And 0.7 of the heads of model large name a limit of <limit> requests a second
    When <rate> streams of model large arrive each second at all daemons for 14 seconds
    Then from 3 seconds after it named its limit each head got at most 1.5 times that, and 5, in any 4 seconds
    And at least 0.97 of the streams began at the first attempt

    Examples:
      | daemons | limit | rate |
      | 6       | 1.6   | 24   |
      | 6       | 3.2   | 48   |
      | 60      | 1.6   | 24   |

  Scenario: The log says which limit a replica named, and that it ended
    Given a platform with 6 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And the log is captured
    And 0.7 of the heads of model large name a limit of 1.6 requests a second
    When 24 streams of model large arrive each second at all daemons for 3 seconds
    And their limits end
    And 24 streams of model large arrive each second at all daemons for 3 seconds
    Then the log has a line "limit named" for each of these heads, with 1.6 and then none
