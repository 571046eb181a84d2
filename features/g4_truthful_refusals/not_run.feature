Feature: When callers are told that a request was not run, it was not run (G4)

  Scenario: The store is down, so the action is refused and never runs
    Given a fleet of 3 daemons
    And a plain service with workspace w
    When the store goes down
    And action k-1 is asked for at daemon 0
    Then the caller is told not run
    When the store comes back
    And 30 s pass
    Then action k-1 ran 0 times
    When action k-1 is asked for at daemon 1
    Then the caller gets the answer
    And action k-1 ran 1 time

  Scenario: The claim takes effect and its answer is lost until the caller gives up
    Given a fleet of 3 daemons
    And a plain service with workspace w
    When action warm is asked for at daemon 0
    And the store loses every answer
    And action k-2 is asked for at daemon 0
    Then the caller is told not run
    When the store answers again
    And 30 s pass
    Then action k-2 ran 0 times
    When action k-2 is asked for at daemon 2
    Then the caller gets the answer
    And action k-2 ran 1 time

  Scenario: No server accepts a connection
    Given a fleet of 3 daemons
    And a plain service with workspace w
    When no server of the plain service accepts connections
    And action k-3 is asked for at daemon 0
    Then the caller is told not run
    And action k-3 ran 0 times
