Feature: Telling a stalled stream from a slow one

  Scenario Outline: Timeouts grow when a model is slow everywhere, not when one group stops
    Given first events that take <usual> seconds, and a least timeout of 0.4 seconds
    When <stalls> of 100 attempts stall (<pattern>)
    Then the timeout for a first event is from <from> to <to> seconds

    Examples:
      | pattern                    | usual | stalls | from | to   |
      | calm                       | 0.15  | 0      | 0.4  | 0.4  |
      | one group of ten stops     | 0.15  | 10     | 0.4  | 0.61 |
      | overload, queues at heads  | 0.15  | 45     | 1.5  | 2.1  |
      | slow everywhere, but sound | 1.2   | 0      | 1.2  | 4.0  |

  Scenario: Timeouts are short again after an overload
    Given first events that take 0.15 seconds, and a least timeout of 0.4 seconds
    When 60 of 100 attempts stall (overload)
    And 0 of 100 attempts stall (calm)
    Then the timeout for a first event is from 0.4 to 0.4 seconds
