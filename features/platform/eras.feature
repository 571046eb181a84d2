Feature: A store that comes back from an older copy

  Background:
    Given a platform with 3 fabric domains of 8 replicas and 6 daemons
    And its groups are open
    And the log is captured
    And 7 seconds have passed

  # Guards against: what a store that went back lists is ignored as older (CONFIG, DENIED).
  Scenario Outline: A version that is written after the store went back <age> seconds is in force
    When version 2 of the configuration is written
    And 3 seconds pass
    And the platform's store, away for <away> seconds, comes back from a copy <age> seconds old
    And version 3 of the configuration is written
    And 2 seconds pass
    Then the version in force is 3
    And no daemon had an older version in force after a newer one

    Examples:
      | age | away |
      | 9   | 2    |
      | 4   | 0.3  |
      | 1   | 5    |

  # Guards against: a watch goes on at a revision that was given out again, and misses
  # what was written below it.
  Scenario: A change is not missed although its revision was given out before
    When 40 objects are written by others
    And the platform's store, away for 2 seconds, comes back from a copy 4 seconds old, with 60 more objects and version 2 written before any daemon asks
    And 2 seconds pass
    Then the version in force is 2

  Scenario: The store goes back twice
    When version 2 of the configuration is written
    And the platform's store, away for 1 seconds, comes back from a copy 3 seconds old
    And 1 seconds pass
    And version 3 of the configuration is written
    And the platform's store, away for 1 seconds, comes back from a copy 4 seconds old
    And version 4 of the configuration is written
    And 2 seconds pass
    Then the version in force is 4
    And no daemon had an older version in force after a newer one

  # Guards against: a term, and so a fencing number and the epochs of groups, is given
  # out twice.
  Scenario Outline: No term is used twice after the store went back <age> seconds
    When the leader is killed, whose term is noted
    And 5 seconds pass
    And the platform's store, away for <away> seconds, comes back from a copy <age> seconds old
    And 6 seconds pass
    Then exactly one daemon is leader
    And no term was acquired twice, and each was higher than those before
    And no replica was in two groups, and no incomplete group ran a request

    Examples:
      | age | away |
      | 9   | 2    |
      | 4   | 0.5  |
      | 2   | 4    |

  # Guards against: a leader gives up its lease, or another takes it early, since the store
  # shows an older one.
  Scenario: The leader stays
    When the platform's store, away for 0.5 seconds, comes back from a copy 4 seconds old
    And 2 seconds pass
    Then exactly one daemon is leader
    And the leader is the one before

  # Guards against: a backend server that is known to leave gets requests again, since the
  # copy shows it as it was before.
  Scenario Outline: A plain replica that <what> before the store went back gets no requests
    When plain replica 0 <what>
    And 1.5 seconds pass
    And the platform's store, away for 0.5 seconds, comes back from a copy 4 seconds old, which is not corrected for 2 seconds
    And 60 look-ups are requested, 20 a second
    Then plain replica 0 got no request since the store came back

    Examples:
      | what       |
      | drains     |
      | is removed |

  # Guards against: what the system itself wrote to the store is gone for good.
  Scenario Outline: What the system wrote is there again within 2 seconds (<daemons> daemons)
    When <more> more daemons are started
    And 3 seconds pass
    And 1 more daemon is started
    And the part "llm/bad" is quarantined by the leader
    And a limit of 2 is reported to the leader
    And 1 seconds pass
    And the platform's store, away for 1 seconds, comes back from a copy 3 seconds old
    And 2 seconds pass
    Then the store lists every daemon, the part "llm/bad" and the limit of 2
    And every daemon knows the part "llm/bad" and the limit of 2

    Examples:
      | daemons | more |
      | 7       | 0    |
      | 61      | 54   |
      | 196     | 189  |

  # Guards against: a conditional write replaces another object, whose revision was given
  # out again.
  Scenario: A write that depends on a revision of before does not replace what came since
    When an object is written whose revision is given out again by another after the store went back
    And the daemon has heard of the new era
    Then a write that depends on the first is refused, and tells the second

  # A daemon cannot know of the new era before the store has answered it. Guards against:
  # such a write is taken for one whose condition held.
  Scenario: A write that was sent before the daemon heard of the new era counts as refused
    When an object is written whose revision is given out again by another after the store went back
    Then a write that depends on the first is told to be refused, with what is there now
