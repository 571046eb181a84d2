Feature: Odd entries among those of the replicas

  # Guards against: one entry that cannot be read keeps all others from being read, or
  # ends the process.
  Scenario Outline: An entry that has <what> is left out, and the rest is followed
    Given a platform with 2 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And the log is captured
    When another writer leaves an entry that has <what>
    And version 2 of the configuration is written
    And 2 seconds pass
    And plain replica 0 drains
    And 2 seconds pass
    And 30 look-ups are requested, 20 a second
    And 2 seconds pass
    Then plain replica 0 got none of them, and all were answered
    And every daemon follows the list of backend servers, and no task has failed
    And the daemons that are started now follow it too

    Examples:
      | what                        |
      | 100,000 nested lists        |
      | 900 nested lists            |
      | a number of 10,000 digits   |
      | the number 1e999            |
      | the port 99999              |
      | the port 0                  |
      | the port ²                  |
      | no slots                    |
      | a slot number of 1e300      |
      | -5 slots                    |
      | a service that is a list    |
      | a name of 100,000 letters   |
      | a group of another type     |
      | an epoch of 400 digits      |
      | bytes that are no text      |

  Scenario: No value of any field of an entry ends its decoding
    Then an entry of a replica is decoded or left out whatever value each of its fields has

  Scenario: No value of any field of a configuration ends its decoding
    Then a configuration is decoded or rejected whatever value each of its fields has

  # Guards against: an object of the system's own kinds that something else wrote ends a
  # task or the process.
  Scenario Outline: An odd value in the <kind> object is survived
    Given a platform with 2 fabric domains of 8 replicas and 3 daemons
    And its groups are open
    And the log is captured
    When the object "<name>" of kind <kind> gets each odd value in place of each of its values
    And 8 seconds pass
    And 30 look-ups are requested, 20 a second
    And 2 seconds pass
    Then exactly one daemon is leader
    And all look-ups were answered, and no task has failed

    Examples:
      | kind       | name         |
      | leases     | formation    |
      | daemons    | front-1      |
      | daemons    | front-7      |
      | quarantine | parts        |
      | quarantine | reports.odd  |
      | limits     | named        |
