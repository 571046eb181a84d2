@deployment
Feature: The path from ticket to answer, in separate processes

  Scenario: From an operator's ticket to a caller's answer
    When the operator submits samples/copeaux-armor.yaml
    Then the operators' client exits with 0
    And every daemon serves redacteur
    When a caller streams 20 tokens from redacteur at daemon 1
    Then the answer is complete
    When a caller asks redacteur for 20 tokens at daemon 2 without streaming
    Then the answer is complete
    And the trace of the request says which replica was chosen
    When booking b-1 is confirmed at daemon 0
    And booking b-1 is confirmed at daemon 2
    Then the service ran booking b-1 once
    And a lookup of slots at daemon 1 answers 200

  Scenario: Operators get the report and the explanations of decisions
    Then the report of all daemons shows tournees-first-token
    And every command of the operators' page succeeds

  Scenario: A ticket that is already accepted, and an outdated one
    When the operator submits samples/copeaux-armor.yaml
    Then the operators' client exits with 0
    And its output says already_accepted
    When the operator submits an outdated ticket
    Then the operators' client exits with 1
    And its output says --rebase

  Scenario Outline: An invalid request is refused as not run
    When a caller sends <request>
    Then the answer is <status> with code <code> and run state not_run

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

  Scenario: The engine cancels a request when its caller disconnects
    When a caller starts to stream 20000 tokens from redacteur at daemon 0
    Then an engine runs 1 request
    When the caller disconnects
    Then no engine runs a request

  Scenario: A daemon that is told to stop finishes the answer in flight
    When a caller starts to stream 300 tokens from redacteur at daemon 2
    And daemon 2 is told to stop
    Then the streamed answer is complete
    And daemon 2 exits with 0
    When daemon 2 is started again
    Then every daemon serves redacteur

  Scenario: A daemon that does not know the fleet's key is refused
    When a peer with a wrong fleet key opens a session with daemon 0
    Then the peer is refused
