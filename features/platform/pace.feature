Feature: The pace of a backend server follows from how it answers

  # Guards against: a server that has just come (back) is flooded, or left idle.
  Scenario Outline: A server is used in full in half of the time that a fixed ramp needs
    Given a server with <slots> slots that <behaves>
    When it is paced for 60 seconds, and by a fixed ramp as well
    Then it is used in full at most half as long after <from> seconds as by a ramp
    And outside of its slow times at most 0.1 of its answers are late

    Examples:
      | slots | behaves                                  | from |
      | 24    | answers well                             | 0    |
      | 10    | answers well                             | 0    |
      | 24    | is slow for 3 seconds                    | 3    |
      | 10    | is slow for 3 seconds                    | 3    |
      | 24    | is slow for 30 seconds                   | 30   |
      | 24    | is slow for 3 and from 10 to 14 seconds  | 14   |

  Scenario: A server that is slow for long is not flooded meanwhile
    Given a server with 24 slots that is slow for 30 seconds
    When it is paced for 60 seconds, and by a fixed ramp as well
    Then it answers late at most 0.5 times as often as by the ramp

  Scenario: A server that is slow for ever gets little, but is not forgotten
    Given a server with 24 slots that is slow for ever
    When it is paced for 60 seconds, and by a fixed ramp as well
    Then it answers late at most 0.2 times as often as by the ramp
    And its limit is never below 2 requests

  Scenario: A server that fails under any load is not flooded, but tried again
    Given a server with 24 slots that fails for 40 seconds
    When it is paced for 60 seconds, and by a fixed ramp as well
    Then it fails at most 0.15 times as often as by the ramp
    And it is tried at least once in each 10 seconds
    And it is used in full at most 13 seconds after 40 seconds

  Scenario: A server whose slots cannot all be used in time is kept below them
    Given a server with 24 slots that answers in time up to 16 requests
    When it is paced for 60 seconds, and by a fixed ramp as well
    Then it answers late at most 0.4 times as often as by the ramp
    And it answers in time at least 2 times as often as by the ramp

  Scenario: A zone of servers that comes back begins low beside the others
    Given 18 servers with 24 slots that are listed and answer well
    When 6 of them are away for 5 seconds and come back
    Then the limit of each of the 6 is 12, and of each other one at least 24
    When 3 seconds pass and all servers answer well
    Then the limit of each of the 6 is at least 24, and of each other one at least 24

  Scenario: A zone of servers that has started again begins lower still
    Given 18 servers with 24 slots that are listed and answer well
    When 6 of them are away for 5 seconds and come back as new incarnations
    Then the limit of each of the 6 is 6, and of each other one at least 24
    When 3 seconds pass and all servers answer well
    Then the limit of each of the 6 is at least 24, and of each other one at least 24

  Scenario: Little is held back if no server is established
    Given a daemon that has run for 20 seconds without servers
    When 4 servers with 24 slots are listed at once
    Then the limit of each is 12

  Scenario: A daemon that was held up itself does not take its servers for new
    Given 18 servers with 24 slots that are listed and answer well
    When the daemon stands still for 5 seconds
    Then the limit of each is at least 24

  # Guards against: spares stay idle, since the requests at work never reach the slots
  # once there is no room for more.
  Scenario Outline: A group without room counts as busy, whatever its limit
    Given a group with 24 slots and a limit of <limit>, which has <requests> requests
    Then its busy share is <share>

    Examples:
      | limit | requests | share |
      | 48    | 24       | 1.0   |
      | 48    | 12       | 0.5   |
      | 24    | 20.4     | 1.0   |
      | 6     | 5.1      | 1.0   |
      | 0     | 1        | 1.0   |

  # Guards against: an overload of all groups shrinks their batches, so that still fewer
  # requests are served.
  Scenario: Servers that are all slow keep their slots, one that is slower does not
    Given 18 servers with 24 slots that are listed and answer well
    When 0.3 of all answers are slow for 10 seconds, and all of one server
    Then the limit of that one is at most 3, and of each other one at least 24

  # Guards against: a limit of nothing that was taken over stays, since no answers come.
  Scenario: A daemon whose relay stopped a server tries it again on its own
    Given 18 servers with 24 slots that are listed and answer well
    When a relay says that nothing may be sent to one of them, and is lost
    And 1 second passes without a request to it
    Then the limit of that one is 1
    When it answers well for 3 seconds
    Then the limit of that one is 24
