Feature: Repair when the spares are used up

  Scenario: Members that wait for weights repair another group of their model
    Given a platform with 1 fabric domains of 12 replicas and 3 daemons
    And its groups are open
    And a first request has been answered
    When 60 seconds pass
    And a member of a group of model large is lost for good
    And its entry expires
    And 5 seconds pass
    And a member of a group of model large is lost for good
    And its entry expires
    And 5 seconds pass
    And 1 empty replicas are added to each of 1 fabric domains
    And a member of a group of model large is lost for good
    And its entry expires
    And 3 seconds pass
    And a member of a group of model large is lost for good
    And its entry expires
    And 6 seconds pass
    Then there are at least 1 open groups of model large
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: Spares hold weights before the first request arrives
    Given a platform with 3 fabric domains of 8 replicas and 3 daemons
    When 10 seconds pass
    Then every replica holds weights
