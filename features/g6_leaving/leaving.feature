Feature: A leaving backend server receives no new work after 3 s (G6)

  Scenario: The platform shows a VM of a group as leaving
    Given a fleet of 4 daemons and 4 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When callers begin to ask every daemon steadily for 20 s
    And 2 s pass
    And the platform shows VM z-a-f0-0 as leaving
    And everything under way ends
    Then no new request came to VM z-a-f0-0 later than 3 s after that
    And every caller has its own whole answer
    And 3 groups may be used by every daemon
