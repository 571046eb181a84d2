Feature: Evacuations of availability zones

  # Guards against: requests are sent to a zone that the operator has evacuated.
  Scenario Outline: Nothing reaches an evacuated zone although <what> (EVAC)
    Given a platform that evacuates zones, with <daemons> daemons
    And its groups are open
    When a zone is evacuated and <what> while streams and look-ups arrive for 9 seconds
    Then no request reached the zone from 2 seconds after its evacuation on
    And at least <share> of the requests were served

    Examples:
      | daemons | what                                    | share |
      | 6       | nothing else happens                    | 0.99  |
      | 60      | nothing else happens                    | 0.99  |
      | 6       | a second zone is evacuated              | 0.9   |
      | 6       | the store is silent 2 seconds later     | 0.99  |
      | 6       | the leader is killed                    | 0.95  |
      | 6       | each daemon is started again            | 0.95  |
      | 6       | the store goes back to before it        | 0.9   |

  Scenario: A zone that is taken back is used again
    Given a platform that evacuates zones, with 6 daemons
    And its groups are open
    When a zone is evacuated and nothing else happens while streams and look-ups arrive for 3 seconds
    And the zone is taken back while streams and look-ups arrive for 6 seconds
    Then requests reached the zone within 3 seconds
    And at least 0.99 of the requests were served

  # Guards against: callers wait, or are not told to return, when nothing is left.
  Scenario: Callers are refused at once when all zones are evacuated
    Given a platform that evacuates zones, with 6 daemons
    And its groups are open
    When all zones are evacuated
    And 2 seconds pass
    And streams and look-ups arrive for 1 seconds
    Then all of them were refused at once and told when to return

  Scenario: The evacuation of a zone that has no servers is logged
    Given a platform that evacuates zones, with 3 daemons
    And the log is captured
    And its groups are open
    When the zone "z-none" is evacuated
    And streams and look-ups arrive for 2 seconds
    Then each daemon has logged "no backend in evacuated zones" once
    And at least 1.0 of the requests were served
