Feature: A daemon that starts cannot tell whether the store shows an older copy

  Background:
    Given a platform with 3 fabric domains of 8 replicas and 6 daemons
    And the store is copied once a daemon holds the lease and no group is formed
    And its groups are open
    And the log is captured

  # Guards against: a leader that starts again acts on a copy in which the members of open
  # groups are free (TWO, PARTIAL).
  Scenario Outline: A leader that is back <when> the store comes back from a copy leaves open groups alone
    When the leader is killed, and starts again <when> the store comes back from the copy, to which replicas write <how>
    And 8 seconds pass
    Then exactly one daemon is leader
    And no replica was in two groups, and no incomplete group ran a request
    And every group of before is open
    And no term was acquired twice, and each was higher than those before

    Examples:
      | when   | how                   |
      | before | at their next beats   |
      | before | all at once 2 s later |
      | after  | at their next beats   |
      | after  | all at once 2 s later |

  # Guards against: an entry of the copy is believed that its server, cut off from the
  # store, cannot correct (TWO, PARTIAL).
  Scenario Outline: Servers that cannot correct their entries in the copy are left alone (<who>, leader back <when> the store)
    When the leader is killed, and starts again <when> the store comes back from the copy, to which replicas write at their next beats, but for the <who> of a group
    And 3.5 seconds pass
    Then every group of before is open
    When 30 seconds pass
    Then no replica was in two groups, and no incomplete group ran a request
    And there are at least 2 open groups of model large

    Examples:
      | who         | when   |
      | head        | before |
      | head        | after  |
      | last member | before |
      | last member | after  |
      | members     | before |
      | members     | after  |

  # Guards against: the same where no daemon has any memory, or the one that starts has
  # another name.
  Scenario Outline: <who> in a copy of the store leaves open groups alone
    When <who> while the store is away, which comes back from the copy, to which replicas write all at once 2 s later
    And 8 seconds pass
    Then exactly one daemon is leader
    And no replica was in two groups, and no incomplete group ran a request
    And every group of before is open

    Examples:
      | who                                              |
      | the whole fleet starts again                     |
      | the whole fleet is replaced by other daemons     |
      | the leader is lost for good                      |
      | the leader is lost for good 2 s after an outage began |

  # Guards against: a daemon that starts takes a lease that the copy shows as released or
  # does not show, beside the daemon that holds it.
  Scenario Outline: A daemon that starts does not take a lease that the copy shows as <shown>
    When the store comes back from a copy in which the lease is <shown>, and a daemon starts at once
    And 6 seconds pass
    Then the daemon that held the lease holds it
    And never did two hold the lease

    Examples:
      | shown    |
      | released |
      | missing  |

  # Guards against: lists that only the leader writes are lost for good with the leader that
  # knew what the copy lacks, although all others know it.
  Scenario Outline: What the others know is kept although the leader starts again <when> the store comes back
    When the part "llm/bad" is quarantined by the leader
    And a limit of 2 is reported to the leader
    And 1 seconds pass
    And the leader is killed, and starts again <when> the store comes back from the copy, to which replicas write at their next beats
    And 6 seconds pass
    Then the store lists every daemon, the part "llm/bad" and the limit of 2
    And every daemon knows the part "llm/bad" and the limit of 2

    Examples:
      | when   |
      | before |
      | after  |

  # Guards against: a leader that has lost what it knew of its orders acts on the copy.
  Scenario: A leader sends no order before the entries are back
    When the platform's store, away for 0.5 seconds, comes back from a copy 4 seconds old, which is not corrected for 2 seconds
    And 4 empty replicas are added to each of 3 fabric domains
    And 2 seconds pass
    Then no replica has taken an order since the store came back
    When 20 seconds pass
    Then there are at least 4 open groups of model large
    And no replica was in two groups, and no incomplete group ran a request

  # Guards against: a lease is taken beside its holder, since the time of a slow read
  # counts as time in which it was not renewed.
  Scenario: A daemon whose first read of the lease takes seconds does not take it early
    When a daemon starts whose calls the store does not answer for 2.3 seconds, and once it has read the lease, the leader's are not answered
    And 3 seconds pass
    Then never did two hold the lease

  # Guards against: a daemon takes the lease again while it stops, so that its successor
  # waits until that has expired.
  Scenario Outline: A leader that stops while the store answers after <slow> seconds leaves the lease released
    Given <passed> seconds have passed
    When the answers of the store take <slow> seconds, and the leader is stopped <later> seconds later
    Then the lease in the store is released

    Examples:
      | passed | slow | later |
      | 0.1    | 0.9  | 1.0   |
      | 0.5    | 0.9  | 1.3   |
      | 0.1    | 0.9  | 1.6   |
      | 0.1    | 0.5  | 1.0   |
      | 0.5    | 0.5  | 1.3   |
      | 0.1    | 0.5  | 1.9   |

  # Guards against: the lease stays held after a stop during a renewal that took effect.
  Scenario: A leader that stops while its renewal is not answered leaves the lease released
    When the store answers no write for 0.95 seconds, and the leader is stopped
    Then the lease in the store is released

  # Guards against: repair stands still since a daemon that restarts in calm waits.
  Scenario: A leader that is killed and starts again in calm leads within 1 second of its start
    Given 7 seconds have passed
    When the leader is killed and starts again 0.3 seconds later
    And 1 seconds pass
    Then exactly one daemon is leader
    And the leader is the one before

  Scenario: Groups are open well before traffic, 12 s after the first start
    Then there are at least 3 open groups of model large
    And there are at least 3 open groups of model small
