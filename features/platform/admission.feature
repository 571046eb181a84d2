Feature: Which requests go on, wait for a place, or are refused

  # Guards against: a burst of a few seconds fills the queues of all groups, and from
  # then on everybody is late, long after the burst has ended (a metastable overload).
  Scenario Outline: An overload ends with its cause (burst)
    Given 8 groups behind <daemons> daemons and callers with one retry
    When requests fill <usual> of the groups for 4 seconds
    And requests fill 2.0 of the groups for 2 seconds
    And requests fill <usual> of the groups for 8 seconds
    Then from 2 seconds after the burst 0.95 of the earlier share is in time

    Examples:
      | daemons | usual |
      | 1       | 0.7   |
      | 1       | 0.85  |
      | 20      | 0.7   |
      | 74      | 0.6   |

  Scenario: A flash crowd does not lower what is served in time (flash crowd)
    Given 8 groups behind 20 daemons and callers with one retry
    When requests fill 0.6 of the groups for 3 seconds
    And requests fill 2.5 of the groups for 4 seconds
    Then in the crowd at least 0.5 of what the groups can do is in time

  Scenario: Callers who repeat at once do not keep the groups full (retry storm)
    Given 8 groups behind 20 daemons and callers who repeat 3 times at once
    When requests fill 0.7 of the groups for 4 seconds
    And requests fill 2.0 of the groups for 2 seconds
    And requests fill 0.7 of the groups for 8 seconds
    Then from 2 seconds after the burst 0.95 of the earlier share is in time

  Scenario: Large prompts are served as well (mixed prompts)
    Given 8 groups behind 20 daemons and callers with one retry
    When requests fill 1.3 of the groups for 8 seconds, each tenth with 6 times the prompt
    Then the large ones are served at least half as often as all

  Scenario: A large workspace does not push a small one aside (competing workspaces)
    Given 8 groups behind 1 daemons and callers with one retry
    When requests fill 1.4 of the groups for 8 seconds, a tenth of them from workspace "small"
    Then workspace "small" is served at least as often as all

  Scenario: A more urgent kind of request is served at least as often (priorities)
    Given 8 groups behind 20 daemons and callers with one retry
    When requests fill 1.4 of the groups for 24 seconds, a tenth of them on a route with less priority
    Then that route is served at most 0.05 more often than the other

  Scenario: Service is back soon after the groups are (recovery)
    Given 8 groups behind 20 daemons and callers with one retry
    When requests fill 0.6 of the groups for 4 seconds
    And all groups stand still for 2 seconds while requests fill 0.6 of them
    And requests fill 0.6 of the groups for 8 seconds
    Then from 2 seconds after the burst 0.95 of the earlier share is in time

  Scenario: Those who can be in time go first, then by priority, then the fair share
    Given requests that wait in line
      | name | late | priority | workspace |
      | a    | yes  | 0        | x         |
      | b    | no   | 1        | x         |
      | c    | no   | 0        | x         |
      | d    | no   | 0        | y         |
    When a request of workspace "x" goes on
    Then the rest go on in the order "d c b a"

  Scenario Outline: Odd figures of an engine give bounded estimates
    Given an engine whose <figure> is <value>
    Then the estimated time to a first event is a number, at least 0

    Examples:
      | figure              | value |
      | stride              | 0     |
      | prompt_tokens_per_s | 0     |
      | usual_answer_tokens | 0     |
      | usual_prompt_tokens | -5    |
      | per_sequence_s      | -1    |
      | stride              | -3    |

  Scenario: A caller that comes back is known by the time that it has left
    Given callers of a route who have 6 seconds
    Then one who has 4.5 seconds left first asked 1.5 seconds ago
    And one who has 6 seconds left asks for the first time

  Scenario: Callers come back when a place comes free, one after the other
    Given a daemon that gets 2 places a second for callers who come back
    When 3 callers with 8 seconds left are refused within 0.1 seconds
    Then they come back at least 0.2 seconds apart on average, within a third of that
    When 30 callers with 8 seconds left are refused within 0.1 seconds
    Then no tenth of a second has more than 6 of their returns

  Scenario: Refused callers are served when they come back (burst)
    Given 8 groups behind 20 daemons and callers with one retry
    When requests fill 0.5 of the groups for 4 seconds
    And requests fill 2.0 of the groups for 2 seconds
    And requests fill 0.5 of the groups for 8 seconds
    Then 0.7 of those refused once are served at their return

  Scenario Outline: Slow groups are used as long as they have places (slow groups)
    Given a request in time whose first event is expected after 3 times its objective
    Then it is <result> at a group with <requests> requests for 24 places

    Examples:
      | requests | result |
      | 0        | Admit  |
      | 12       | Admit  |
      | 24       | Hold   |

  Scenario: Only the daemon sets how urgent a request is at the backend server
    Given a caller who sends an urgency class of its own
    Then attempts with urgency 9 carry just that one
    And attempts without an urgency carry none
