Feature: Every caller receives the complete answer to its own request (G3)

  Scenario: A group fails in the middle of an answer
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When a caller starts a request for 200 tokens at daemon 0
    And a caller starts a request for 200 tokens at daemon 1
    And 2 s pass
    And a VM that is serving an answer is killed
    And all requests in flight have ended
    Then every caller has the complete answer to its own request
    And at least 1 answer was resumed on another replica

  Scenario: Two groups fail, one after the other, during one answer
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When a caller starts a request for 300 tokens at daemon 0
    And 1 s pass
    And a VM that is serving an answer is killed
    And 2 s pass
    And a VM that is serving an answer is killed
    And all requests in flight have ended
    Then every caller has the complete answer to its own request
    And at least 1 answer was resumed on another replica
