Feature: An action that may not be repeated runs at most once (G5)

  Scenario: A caller asks again at another daemon
    Given a fleet of 3 daemons
    And a plain service with workspace w
    When action k-1 is asked for at daemon 0
    Then the caller gets the answer
    When action k-1 is asked for at daemon 2
    Then the caller gets the answer that was kept
    And action k-1 ran 1 time

  Scenario: The service's answer is lost
    Given a fleet of 3 daemons
    And a plain service with workspace w
    When the plain service loses its next answer
    And action k-2 is asked for at daemon 0
    Then the caller is told may have run
    When action k-2 is asked for at daemon 1
    Then the caller is told may have run
    And action k-2 ran 1 time

  Scenario: The owner dies while the action is under way
    Given a fleet of 4 daemons
    And a plain service with workspace w
    When the plain service takes 1 s to act
    And action k-3 begins at daemon 0
    And 0.5 s pass
    And the daemon that owns action k-3 is killed
    And 10 s pass
    And action k-3 is asked for at another daemon
    Then the caller is told may have run
    And action k-3 ran 1 time

  Scenario: The owner is paused past its replacement and wakes up
    Given a fleet of 4 daemons
    And a plain service with workspace w
    When action warm is asked for at daemon 0
    And the daemon that owns action k-4 is paused
    And 10 s pass
    And action k-4 is asked for at another daemon
    Then the caller gets the answer
    When the paused daemon runs again
    And 20 s pass
    And action k-4 is asked for at daemon 0
    Then the caller gets the answer that was kept
    And action k-4 ran 1 time

  Scenario: One key with two requests
    Given a fleet of 3 daemons
    And a plain service with workspace w
    When action k-5 is asked for at daemon 0
    And another request under key k-5 comes to daemon 1
    Then the caller is told not run
    And action k-5 ran 1 time
