Feature: A non-idempotent action runs at most once (G5)

  Scenario: A caller repeats its request at another daemon
    Given a fleet of 3 daemons
    And a plain service that workspace w may use
    When action k-1 is requested at daemon 0
    Then the caller gets a fresh answer
    When action k-1 is requested at daemon 2
    Then the caller gets the replayed answer
    And action k-1 ran 1 time

  Scenario: The service's answer is lost
    Given a fleet of 3 daemons
    And a plain service that workspace w may use
    When the next answer of the plain service is lost
    And action k-2 is requested at daemon 0
    Then the caller gets a refusal that says may have run
    When action k-2 is requested at daemon 1
    Then the caller gets a refusal that says may have run
    And action k-2 ran 1 time

  Scenario: The daemon that owns an action is killed while the action runs
    Given a fleet of 4 daemons
    And a plain service that workspace w may use
    When the plain service takes 1 s to run an action
    And action k-3 starts at daemon 0
    And 0.5 s pass
    And the daemon that owns action k-3 is killed
    And 10 s pass
    And action k-3 is requested at another daemon
    Then the caller gets a refusal that says may have run
    And action k-3 ran 1 time

  Scenario: The daemon that owns an action is paused, is replaced, and resumes
    Given a fleet of 4 daemons
    And a plain service that workspace w may use
    When action warm is requested at daemon 0
    And the daemon that owns action k-4 is paused
    And 10 s pass
    And action k-4 is requested at another daemon
    Then the caller gets a fresh answer
    When the paused daemon resumes
    And 20 s pass
    And action k-4 is requested at daemon 0
    Then the caller gets the replayed answer
    And action k-4 ran 1 time

  Scenario: Two different requests have the same idempotency key
    Given a fleet of 3 daemons
    And a plain service that workspace w may use
    When action k-5 is requested at daemon 0
    And a different request with key k-5 is sent to daemon 1
    Then the caller gets a refusal that says not run
    And action k-5 ran 1 time
