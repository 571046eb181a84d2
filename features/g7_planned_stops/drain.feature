Feature: A planned stop cuts off no request in flight (G7)

  Scenario: A VM leaves while its group gives a long answer
    Given a fleet of 3 daemons and 4 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When a caller begins an answer of 400 tokens at daemon 0
    And a caller begins an answer of 400 tokens at daemon 1
    And a caller begins an answer of 400 tokens at daemon 2
    And 1 s pass
    And the platform shows VM z-a-f0-0 as leaving
    And the platform shows VM z-b-f0-0 as leaving
    And the platform shows VM z-c-f0-0 as leaving
    And everything under way ends
    Then every caller has its own whole answer
    And no answer was resumed
    When 30 s pass
    Then 3 groups may be used by every daemon
    And no engine of the fleet holds another group than is assigned
