Feature: When callers are told that a request was not run, it was not run (G4)

  Scenario: An action that is refused while the store is down never runs
    Given a fleet of 3 daemons
    And a plain service that workspace w may use
    When the store goes down
    And action k-1 is requested at daemon 0
    Then the caller gets a refusal that says not run
    When the store comes back
    And 30 s pass
    Then action k-1 ran 0 times
    When action k-1 is requested at daemon 1
    Then the caller gets a fresh answer
    And action k-1 ran 1 time

  Scenario: The claim is written, but the store's answers are lost until the caller's deadline
    Given a fleet of 3 daemons
    And a plain service that workspace w may use
    When action warm is requested at daemon 0
    And the store loses every answer
    And action k-2 is requested at daemon 0
    Then the caller gets a refusal that says not run
    When the store answers again
    And 30 s pass
    Then action k-2 ran 0 times
    When action k-2 is requested at daemon 2
    Then the caller gets a fresh answer
    And action k-2 ran 1 time

  Scenario: No server of the service accepts a connection
    Given a fleet of 3 daemons
    And a plain service that workspace w may use
    When no server of the plain service accepts connections
    And action k-3 is requested at daemon 0
    Then the caller gets a refusal that says not run
    And action k-3 ran 0 times
