Feature: Numbers that the pages do not bound

  # Guards against: a version that is large is never in force, nor any after it (CONFIG).
  Scenario Outline: The version <first> is in force at every daemon, and so is <second>
    Given a platform with 3 plain replicas alone and 3 daemons
    When the version <first> takes the key away
    And 1 seconds pass
    Then a look-up at any daemon gets 401
    When the version <second> gives the key back
    And 1 seconds pass
    Then a look-up at any daemon gets 200
    And the daemons that are started now have <second> in force

    Examples:
      | first         | second        |
      | 1000000000001 | 1000000000002 |
      | 1796608800000 | 1796608800250 |
      | 2**63         | 2**63 + 1     |
      | 10**400       | 10**400 + 1   |
      | 2.25          | 2.5           |
      | 4.0           | 5             |
      | 1e300         | 2e300         |

  # Guards against: a number of the configuration keeps the rest of it from being followed.
  Scenario: A configuration is decoded whatever size each of its numbers has
    Then any numbers in a configuration are decoded as finite ones that are in order

  Scenario: The parts of a split keep their proportion whatever size the weights have
    Then weights of 10**400 and 3 * 10**400 split as 1 and 3 do
    And weights of 1e-300 and 3e-300 split as 1 and 3 do
    And weights of 0 and 0 split as 0 and 0 do
    And weights of -1 and 1 split as 0 and 1 do

  # Guards against: a store that counts from a large number is read as one of another era.
  Scenario Outline: A store that counts from <revision> in the era <era> is followed, also back
    Given a platform whose store counts from <revision> in the era <era>
    And its groups are open
    And 7 seconds have passed
    When version 2 of the configuration is written
    And 3 seconds pass
    Then the version in force is 2
    When the platform's store, away for 2 seconds, comes back from a copy 4 seconds old
    And version 3 of the configuration is written
    And 2 seconds pass
    Then the version in force is 3
    When 4 seconds pass
    Then exactly one daemon is leader

    Examples:
      | revision      | era           |
      | 1             | 0             |
      | 1796608800000 | 1             |
      | 2**63         | 1             |
      | 1             | 1796608800    |
      | 1796608800000 | 1796608800000 |

  # Guards against: an answer of the store that is not as the pages say ends the task that
  # follows it.
  Scenario Outline: An answer of the store with <what> is a lost answer
    Then an answer of the store with <what> is lost

    Examples:
      | what                       |
      | a revision that is text    |
      | a revision of 2**200       |
      | a revision of 1.5          |
      | no revision                |
      | metadata that is a list    |
      | items that are numbers     |

  # Guards against: many slots are taken for one.
  Scenario Outline: An entry with <slots> slots counts as <read>
    Then an entry with <slots> slots is read as <read>

    Examples:
      | slots   | read    |
      | 6       | 6       |
      | 6.0     | 6       |
      | 250000  | 250000  |
      | 10**400 | 1000000 |
      | 0       | 1       |
      | -3      | 1       |
      | 0.5     | 1       |

  # Guards against: a long number in a head is taken for none.
  Scenario: The numbers in a head are read whatever size they have
    Then a load of 20 digits is read as a full server
    And a prompt of 30 digits is read as the longest one
    And a deadline of any number never outlasts the route's timeout
