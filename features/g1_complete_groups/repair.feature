Feature: No model group serves requests while any of its VMs is missing (G1)

  Scenario: A VM fails and its group is repaired with a spare VM
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When callers start sending requests to every daemon at a steady rate for 20 s
    And 2 s pass
    And VM z-a-f0-1 is killed
    And all requests in flight have ended
    Then every caller has the complete answer to its own request
    And no request reached a group whose VM had been missing for more than 2.5 s
    And no group started or finished a request while one of its VMs was missing
    And every daemon may route requests to the 3 configured groups
    And a decision about group g-0 says: lost z-a-f0-1

  Scenario: A fabric domain fails and its group is formed again in another domain
    Given a fleet of 3 daemons and 4 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When callers start sending requests to every daemon at a steady rate for 25 s
    And 1 s pass
    And every VM of fabric domain z-b-f0 is killed
    And all requests in flight have ended
    Then every caller has the complete answer to its own request
    And no request reached a group whose VM had been missing for more than 2.5 s
    And every daemon may route requests to the 3 configured groups

  Scenario: A restarted VM does not resume its former place in a group
    Given a fleet of 3 daemons and 2 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When VM z-c-f0-0 is killed
    And 0.1 s pass
    And VM z-c-f0-0 restarts
    And callers send requests to every daemon at a steady rate for 15 s
    Then every caller has the complete answer to its own request
    And no group started or finished a request while one of its VMs was missing
    And every daemon may route requests to the 3 configured groups

  Scenario: Groups keep serving while the store is down and are repaired once it is back
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When the store goes down
    And callers start sending requests to every daemon at a steady rate for 40 s
    And 20 s pass
    And VM z-a-f0-0 is killed
    And 10 s pass
    And the store comes back
    And all requests in flight have ended
    And 10 s pass
    Then every caller has the complete answer to its own request
    And no request reached a group whose VM had been missing for more than 2.5 s
    And every daemon may route requests to the 3 configured groups

  Scenario: Unused VMs form a surplus group, which is dissolved when a configured group needs VMs
    Given a fleet of 3 daemons and 5 VMs in each of 3 fabric domains
    And 3 groups of 2 VMs, formed to minimise stranded accelerators
    Then every daemon may route requests to a surplus group
    When callers start sending requests to every daemon at a steady rate for 30 s
    And 1 s pass
    And every VM of fabric domain z-a-f0 is killed
    And all requests in flight have ended
    And 10 s pass
    Then every caller has the complete answer to its own request
    And every daemon may route requests to the 3 configured groups
    And no version of the assignments has a VM in two groups
