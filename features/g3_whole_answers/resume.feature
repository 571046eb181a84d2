Feature: Every caller receives the whole answer to its own request (G3)

  Scenario: A group dies in the middle of an answer
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When a caller begins an answer of 200 tokens at daemon 0
    And a caller begins an answer of 200 tokens at daemon 1
    And 2 s pass
    And the VMs that serve an answer are killed
    And everything under way ends
    Then every caller has its own whole answer
    And at least 1 answer was resumed on another replica

  Scenario: Two groups die, one after the other
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When a caller begins an answer of 300 tokens at daemon 0
    And 1 s pass
    And the VMs that serve an answer are killed
    And 2 s pass
    And the VMs that serve an answer are killed
    And everything under way ends
    Then every caller has its own whole answer
    And at least 1 answer was resumed on another replica
