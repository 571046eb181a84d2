Feature: Requests that a cold server gets

  # Guards against: every daemon sends its next requests to the servers that came back
  # with nothing to do, more than these bear while they are cold.
  Scenario Outline: A cold server gets no more than it bears although <what> (FAILBACK)
    Given a platform whose cold servers bear 5 requests a second, with <daemons> daemons
    And its groups are open
    When a zone is evacuated, and taken back cold while <what> and 40 streams arrive each second
    Then no cold server crashed, and none got more than 12.5 requests in any second
    And at least <share> of the requests were served

    Examples:
      | daemons | what                                       | share |
      | 6       | nothing else happens                       | 0.97  |
      | 74      | nothing else happens                       | 0.97  |
      | 6       | half of the daemons are killed             | 0.9   |
      | 74      | half of the daemons are killed             | 0.9   |
      | 74      | half of the daemons are not listed         | 0.95  |
      | 74      | daemons do not reach each other            | 0.95  |
      | 74      | a tenth of the daemons hears nothing       | 0.95  |
      | 6       | the store is silent                        | 0.95  |
      | 74      | daemons are started again                  | 0.95  |
      | 6       | more daemons are started                   | 0.95  |

  Scenario Outline: Servers that become cold without notice get no more than they bear (FAILBACK)
    Given a platform whose cold servers bear 5 requests a second, with <daemons> daemons
    And its groups are open
    When half of the heads become cold, all at once, while 50 streams arrive each second
    Then no cold server crashed, and none got more than 12.5 requests in any second
    And at least 0.95 of the requests were served

    Examples:
      | daemons |
      | 6       |
      | 74      |

  # Guards against: cold servers are left idle while callers are refused.
  Scenario Outline: A cold server gets most of what it bears while callers wait
    Given a platform whose cold servers bear <rate> requests a second, with <daemons> daemons
    And its groups are open
    When all heads become cold for <seconds> seconds while <streams> streams arrive each second
    Then no cold server crashed, and none got more than <bound> requests in any second
    And each cold server got at least 0.8 times <rate> requests a second

    Examples:
      | daemons | rate | bound | streams | seconds |
      | 6       | 5    | 12.5  | 60      | 8       |
      | 74      | 5    | 12.5  | 60      | 8       |
      | 6       | 10   | 20    | 100     | 4       |
      | 74      | 10   | 20    | 100     | 4       |
      | 6       | 17   | 30.5  | 100     | 4       |
      | 74      | 17   | 30.5  | 100     | 4       |

  Scenario Outline: A rate of <rate> for cold servers limits nothing
    Given a platform whose cold servers bear <rate> requests a second, with 6 daemons
    And its groups are open
    When all heads become cold for 2 seconds while 30 streams arrive each second
    Then at least 0.99 of the requests were served

    Examples:
      | rate  |
      | 0     |
      | -3    |
      | 1e9   |

  Scenario: A server that stays cold is logged once, and goes on being served
    Given a platform whose cold servers bear 5 requests a second, with 3 daemons
    And the log is captured
    And its groups are open
    When a head is cold for 80 seconds
    Then each daemon has logged "backend stays cold" once
