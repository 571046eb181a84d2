Feature: Models whose groups have no free slots

  # Guards against: callers are refused for as long as the load lasts, beside idle
  # backend servers that are kept for repairs.
  Scenario: Spares serve a model that is overloaded
    Given a platform with 1 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And a first request has been answered
    When 20 streams of model small arrive each second for 20 seconds
    And 2 seconds pass
    Then there are at least 2 open groups of model small
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: A short burst does not use up the spares
    Given a platform with 1 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And a first request has been answered
    When 20 streams of model small arrive each second for 2 seconds
    And 20 seconds pass
    Then there are at most 1 open groups of model small

  Scenario: The spares are given back when the load has passed
    Given a platform with 1 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And a first request has been answered
    When 20 streams of model small arrive each second for 20 seconds
    And 2 seconds pass
    Then there are at least 2 open groups of model small
    When 4 streams of model small arrive each second for 40 seconds
    And 4 seconds pass
    Then there are at most 1 open groups of model small
    And the last 160 streams are complete, with each event exactly once
    When a member of a group of model large is lost for good
    And 12 seconds pass
    Then there are at least 1 open groups of model large
    And no replica was in two groups, and no incomplete group ran a request
