Feature: Limits on requests that replicas name

  Scenario: The log says which limit a replica named, and that it ended
    Given a platform with 6 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And the log is captured
    And 0.7 of the heads of model large name a limit of 1.6 requests a second
    When 24 streams of model large arrive each second at all daemons for 3 seconds
    And their limits end
    And 24 streams of model large arrive each second at all daemons for 3 seconds
    Then the log has a line "limit named" for each of these heads, with 1.6 and then none
