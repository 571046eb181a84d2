Feature: The report shows how fast error budgets burn, and the decisions of that time

  Scenario Outline: Both windows of a pair must burn
    Given an objective of 99 % for 100 requests a minute
    When <bad> of 100 requests are bad from <first> to <last> minutes ago
    Then the objective <verdict>

    Examples:
      | bad | first | last | verdict          |
      | 50  | 60    | 0    | burns fast       |
      | 50  | 60    | 20   | is within budget |
      | 10  | 360   | 0    | burns slow       |
      | 50  | 3     | 0    | is within budget |
      | 1   | 360   | 0    | is within budget |

  Scenario: The report adds the counts of all daemons and names the decisions of that time
    Given an objective of 99 % for 100 requests a minute
    When 50 of 100 requests are bad from 60 to 0 minutes ago
    And 2 daemons report the same counts, and a decision was made 10 minutes ago
    Then the report counts 12200 requests
    And the report names that decision, in the text and in the HTML page

  Scenario: Group downtime and stranded accelerators are counted
    Given a fleet of 3 daemons and 2 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When VM z-a-f0-0 is killed
    And 20 s pass
    Then between 15 and 25 group-s of downtime were counted
    And stranded accelerators were counted
