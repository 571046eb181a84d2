Feature: No model group serves requests while any of its VMs is missing (G1)

  Scenario: A VM dies and the group is repaired from a spare
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When callers begin to ask every daemon steadily for 20 s
    And 2 s pass
    And VM z-a-f0-1 is killed
    And everything under way ends
    Then every caller has its own whole answer
    And no request came to a group whose VM had been missing for 2.5 s
    And no group began or finished a request while a VM was missing
    And 3 groups may be used by every daemon
    And the decisions explain group g-0 by lost z-a-f0-1

  Scenario: A fabric domain goes dark and its group is formed anew elsewhere
    Given a fleet of 3 daemons and 4 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When callers begin to ask every daemon steadily for 25 s
    And 1 s pass
    And fabric domain z-b-f0 goes dark
    And everything under way ends
    Then every caller has its own whole answer
    And no request came to a group whose VM had been missing for 2.5 s
    And 3 groups may be used by every daemon

  Scenario: A VM that comes back does not bring its old place back
    Given a fleet of 3 daemons and 2 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When VM z-c-f0-0 is killed
    And 0.1 s pass
    And VM z-c-f0-0 comes back
    And callers ask every daemon steadily for 15 s
    Then every caller has its own whole answer
    And no group began or finished a request while a VM was missing
    And 3 groups may be used by every daemon

  Scenario: Groups serve on while the store is down, and are repaired after it
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When the store goes down
    And callers begin to ask every daemon steadily for 40 s
    And 20 s pass
    And VM z-a-f0-0 is killed
    And 10 s pass
    And the store comes back
    And everything under way ends
    And 10 s pass
    Then every caller has its own whole answer
    And no request came to a group whose VM had been missing for 2.5 s
    And 3 groups may be used by every daemon

  Scenario: VMs to spare form a surplus group, which is given up for a configured one
    Given a fleet of 3 daemons and 5 VMs in each of 3 fabric domains
    And 3 groups of 2 VMs that weigh stranded accelerators
    Then a surplus group may be used by every daemon
    When callers begin to ask every daemon steadily for 30 s
    And 1 s pass
    And fabric domain z-a-f0 goes dark
    And everything under way ends
    And 10 s pass
    Then every caller has its own whole answer
    And 3 groups may be used by every daemon
    And no version of the assignments has a VM in two groups
