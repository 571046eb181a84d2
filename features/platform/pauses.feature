Feature: A process that was paused

  Background:
    Given a platform with 2 fabric domains of 8 replicas and 4 daemons
    And its groups are open

  Scenario: A daemon that was paused does not serve a key that was removed meanwhile
    When a daemon other than the leader hears nothing, and version 2 removes every key
    And 5 seconds pass unnoticed by it
    And it receives a look-up
    And it hears the others again after 0.3 seconds
    Then the answer to the look-up is 401

  Scenario: A paused daemon without news refuses as not run, and then goes on
    When a daemon other than the leader hears nothing, and version 2 removes every key
    And 5 seconds pass unnoticed by it
    And it receives a look-up
    And 1.1 seconds pass
    Then the answer to the look-up is 503
    When 3 seconds pass
    And it receives a look-up
    And 1 seconds pass
    Then the answer to the look-up is 200
