Feature: An accepted configuration is in force everywhere within 4 s (G8)

  Scenario: A ticket reaches every daemon
    Given a fleet of 8 daemons
    When a ticket sets workspace w at daemon 3
    Then the ticket is accepted
    When 4 s pass
    Then every daemon has revision 1
    And every daemon knows that ticket 1 is applied at all daemons

  Scenario: Two tickets against the same revision change one workspace
    Given a fleet of 3 daemons
    When a ticket against revision 0 sets workspace w to 10 requests/s
    Then the ticket is accepted
    When a ticket against revision 0 sets workspace w to 20 requests/s
    Then the ticket is outdated
    And the refusal shows field requests_per_s, 20.0 requested and 10.0 in force, changed by ticket 1
    When a ticket against revision 0 sets workspace v to 20 requests/s
    Then the ticket is accepted

  Scenario: A ticket is submitted twice
    Given a fleet of 3 daemons
    When submission x sets workspace w at daemon 0
    Then the ticket is accepted
    When submission x sets workspace w at daemon 2
    Then the ticket is already accepted
    And the log holds 1 tickets

  Scenario: The store's answer to the write of a ticket is lost
    Given a fleet of 3 daemons
    When the store loses every answer
    And submission x sets workspace w at daemon 0
    Then the ticket is not accepted
    When the store answers again
    And submission x sets workspace w at daemon 1
    And 4 s pass
    Then the log holds 1 tickets
    And every daemon has revision 1

  Scenario Outline: The complete resulting configuration is validated
    Given a fleet of 3 daemons and 2 VMs in each of 3 fabric domains
    When <ticket>
    Then the ticket is invalid
    And the violated rule says: <rule>

    Examples:
      | ticket                                                    | rule                     |
      | a ticket puts VM z-a-f0-0 into two groups                 | is also in model_group   |
      | a ticket puts VMs z-a-f0-0 and z-b-f0-0 into one group    | fabric domains           |
      | a ticket sets a workspace limit above that of its service | is above                 |
      | a ticket names a service that does not exist              | no service is called     |

  Scenario: A new daemon starts while the store is down
    Given a fleet of 4 daemons
    When a ticket sets workspace w at daemon 0
    And 2 s pass
    And the store goes down
    And daemon 3 is killed
    And 5 s pass
    And daemon 3 starts without saved state
    And 20 s pass
    Then every daemon has revision 1
    And daemon 3 takes new requests

  Scenario: A new daemon that reaches too few others takes no requests
    Given a fleet of 5 daemons
    When a ticket sets workspace w at daemon 0
    And 2 s pass
    And daemon 4 is killed
    And the store goes down
    And daemons 3,4 are cut off from the others
    And 2 s pass
    And daemon 4 starts without saved state
    And 20 s pass
    Then daemon 4 refuses new requests
    And daemon 3 refuses new requests
    And daemon 0 takes new requests

  Scenario: All daemons keep serving when all of them lose the store
    Given a fleet of 5 daemons
    When the store goes down
    And 60 s pass
    Then daemon 0 takes new requests
    And daemon 4 takes new requests

  Scenario: Only the smaller side of a partition reaches the store
    Given a fleet of 5 daemons
    When daemons 0,1 are cut off from the others
    And daemons 2,3,4 are cut off from the store
    And 0.3 s pass
    And a ticket sets workspace w at daemon 0
    Then the ticket is not accepted
    When 10 s pass
    Then daemon 0 takes new requests
    And daemon 2 takes new requests
    When all network links are restored
    And 10 s pass
    And a ticket sets workspace w at daemon 0
    Then the ticket is accepted
    When 4 s pass
    Then every daemon has revision 1

  Scenario: An isolated daemon neither takes requests nor reverts the configuration
    Given a fleet of 4 daemons
    When daemons 3 are cut off from the others
    And daemons 3 are cut off from the store
    And 0.5 s pass
    And a ticket sets workspace w at daemon 0
    And 4 s pass
    Then daemon 3 refuses new requests
    And the 0 daemon has revision 1
    When all network links are restored
    And 6 s pass
    Then daemon 3 takes new requests
    And every daemon has revision 1

  Scenario: Snapshots shorten the log, and an incomplete snapshot only delays the start of a daemon
    Given a fleet of 3 daemons
    When 220 tickets are accepted, one after the other
    And 5 s pass
    And the first part of the newest snapshot is deleted
    And daemon 2 is killed
    And daemon 2 starts without saved state
    And 5 s pass
    Then every daemon has revision 220
