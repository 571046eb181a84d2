Feature: Connections from callers

  Scenario Outline: Requests that are too large or malformed are refused and the connection is closed
    Given a front end with small limits
    When the front end receives <what>
    Then the caller gets <status> and the connection is closed

    Examples:
      | what                            | status |
      | headers that are too large      | 431    |
      | a body that is too large        | 413    |
      | a body far over the limit       | 413    |
      | chunks far over the limit       | 413    |
      | a chunk far over the limit      | 413    |
      | a length that is repeated       | 413    |
      | a length of superscript digits  | 400    |
      | a length of 30 digits           | 413    |
      | two different lengths           | 400    |
      | a length and chunks             | 400    |
      | no Host header                  | 400    |

  Scenario: A complete request is passed on with its original path and its decoded body
    Given a front end with small limits
    When the front end receives a chunked body
    Then the request has the path "/look/a%20b?x=1" and the body "hello"

  # Guards against: a request whose header is no number that Python can read is never
  # answered.
  Scenario Outline: A request that resumes after the event "<id>" is passed on
    Given a front end with small limits
    When a caller resumes a stream after the event "<id>"
    Then the request is passed on as one that resumes after <known>

    Examples:
      | id           | known  |
      | 12           | itself |
      | 007          | itself |
      | ²            | itself |
      | page-7/a     | itself |
      | 1,900 digits | itself |
      | 4,400 digits | itself |

  # Guards against: an answer to HEAD ends in an error, and its connection closes.
  Scenario: Answers to HEAD have no body, and their connection stays open
    Given a front end with small limits
    When HEAD comes in twice on one connection
    Then each is answered with 200, a length of 2 and no body

  # Guards against: bytes above 127 in a path reached the backend server encoded twice.
  Scenario: A path with bytes above 127 reaches the backend server as it came
    Given a front end with small limits
    When a request for "/look/\xc3\xa9?x=\xe2\x82\xac" comes in and is sent to a server
    Then the server gets the path as it came

  Scenario: A path that cannot be sent on as it came is refused
    Given a front end with small limits
    When the front end receives a path that is not UTF-8
    Then the caller gets 400 and the connection is closed

  Scenario: A request is cancelled when its caller disconnects
    Given a front end with small limits
    When a caller disconnects before it gets an answer
    Then the request was cancelled

  Scenario: A daemon that is stopping is not ready and asks callers to close their connections
    Given a front end with small limits
    When the front end stops while a caller waits
    Then the front end was not ready, and the answer asked the caller to close the connection

  Scenario: A request whose connection closed just after it was read does not run
    Given a front end with small limits
    When a connection is closed just after its request has been read
    Then the request was not passed on
