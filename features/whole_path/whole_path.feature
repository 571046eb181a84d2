@deployment
Feature: The whole path, in separate processes

  Scenario: From an operator's ticket to a caller's answer
    When the operator submits samples/copeaux-armor.yaml
    Then the operators' client exits with 0
    And every daemon serves redacteur
    When a caller streams 20 tokens from redacteur at daemon 1
    Then the answer is whole
    When a caller asks redacteur for 20 tokens at daemon 2, not streamed
    Then the answer is whole
    And the trace of the request says which replica was chosen
    When booking b-1 is confirmed at daemon 0
    And booking b-1 is confirmed at daemon 2
    Then the service ran booking b-1 once
    And a lookup of slots at daemon 1 answers 200

  Scenario: The report and the explanations are there for operators
    Then the report of all daemons shows tournees-first-token
    And every command of the operators' page answers

  Scenario: The same ticket again, and one that is out of date
    When the operator submits samples/copeaux-armor.yaml
    Then the operators' client exits with 0
    And its output says already_accepted
    When the operator submits an outdated ticket
    Then the operators' client exits with 1
    And its output says --rebase

  Scenario Outline: Bad input gets a clear refusal that says not run
    When a caller sends <request>
    Then the answer is <status> with code <code>, and says not_run

    Examples:
      | request                     | status | code               |
      | a body that is not JSON     | 400    | malformed_request  |
      | a body over the limit       | 413    | request_too_large  |
      | a chunked body over the limit | 413  | request_too_large  |
      | headers over the limit      | 431    | request_too_large  |
      | an unknown model            | 404    | unknown_model      |
      | an unknown workspace        | 401    | unknown_workspace  |
      | an unknown service          | 404    | unknown_service    |
      | an unknown path             | 404    | unknown_service    |
      | no prompt                   | 400    | malformed_request  |
      | a deadline that is no number | 400   | malformed_request  |
      | an idempotency key with blanks | 400 | malformed_request  |

  Scenario: A caller that leaves ends the work at the engine
    When a caller begins to stream 20000 tokens from redacteur at daemon 0
    Then an engine runs 1 request
    When the caller leaves
    Then no engine runs a request

  Scenario: A daemon stops in order while it gives an answer
    When a caller begins to stream 300 tokens from redacteur at daemon 2
    And daemon 2 is told to stop
    Then the answer that was begun is whole
    And daemon 2 exits with 0
    When daemon 2 is started again
    Then every daemon serves redacteur

  Scenario: A daemon that does not know the fleet's key is refused
    When a stranger opens a session with daemon 0
    Then the stranger is refused
