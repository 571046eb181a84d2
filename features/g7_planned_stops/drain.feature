Feature: A planned stop interrupts no request in flight (G7)

  Scenario: A VM leaves while its group is serving a long answer
    Given a fleet of 3 daemons and 4 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When a caller starts a request for 400 tokens at daemon 0
    And a caller starts a request for 400 tokens at daemon 1
    And a caller starts a request for 400 tokens at daemon 2
    And 1 s pass
    And the platform shows VM z-a-f0-0 as leaving
    And the platform shows VM z-b-f0-0 as leaving
    And the platform shows VM z-c-f0-0 as leaving
    And all requests in flight have ended
    Then every caller has the complete answer to its own request
    And no answer was resumed
    When 30 s pass
    Then every daemon may route requests to the 3 configured groups
    And every engine of the fleet holds exactly the group that is assigned to it
