Feature: A leaving backend server receives no new work after 3 s (G6)

  Scenario: The platform shows a VM of a group as leaving
    Given a fleet of 4 daemons and 4 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When callers start sending requests to every daemon at a steady rate for 20 s
    And 2 s pass
    And the platform shows VM z-a-f0-0 as leaving
    And all requests in flight have ended
    Then no new request reached VM z-a-f0-0 later than 3 s after it was shown as leaving
    And every caller has the complete answer to its own request
    And every daemon may route requests to the 3 configured groups
