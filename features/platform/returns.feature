Feature: When refused callers come back

  Scenario Outline: Callers refused while a model has no group (a lost group, then recovery)
    Given callers with <left> seconds left and one retry, who arrive evenly
    When no group is open for <outage> seconds
    Then at least <share> of those refused are served at their return
    And no tenth of a second has more than 3 times the mean of their returns

    Examples:
      | left | outage | share |
      | 8    | 1.4    | 0.95  |
      | 8    | 2.5    | 0.7   |
      | 6    | 2.0    | 0.7   |

  Scenario Outline: Nobody is asked to wait longer than callers do
    Given callers with <left> seconds left and one retry, who arrive evenly
    Then each is asked to return within a third of that

    Examples:
      | left |
      | 0.6  |
      | 1.5  |
      | 60   |
