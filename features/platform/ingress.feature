Feature: Callers' connections

  Scenario Outline: Requests that break the limits are refused and the connection ends
    Given a front end with small limits
    When the front end gets <what>
    Then it gets <status> and the connection ends

    Examples:
      | what                        | status |
      | headers that are too large  | 431    |
      | a body that is too large    | 413    |
      | two lengths that differ     | 400    |
      | a length and chunks         | 400    |
      | no host                     | 400    |

  Scenario: A whole request is handed on with its own path and body
    Given a front end with small limits
    When the front end gets a chunked body
    Then the request has the path "/look/a%20b?x=1" and the body "hello"

  Scenario: A caller that leaves ends the work for it
    Given a front end with small limits
    When a caller leaves before its answer
    Then the work was cancelled

  Scenario: While it stops, a daemon is not ready and asks callers to go elsewhere
    Given a front end with small limits
    When it stops while a caller waits
    Then it was not ready, and the answer asked the caller to close

  Scenario: A request whose connection was just closed does not run
    Given a front end with small limits
    When a connection is closed as its request has just been read
    Then the request was not passed on
