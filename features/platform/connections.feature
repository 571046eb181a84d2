Feature: Connections to backend servers

  Scenario: A late answer to an earlier request is dropped
    Given a server that answers the first request twice
    When two requests are sent on one connection
    Then each request got its own answer

  Scenario: An answer without a length is lost when its connection is reset
    Given a server that resets the connection during an answer without a length
    When a request is sent
    Then the answer is lost

  Scenario: An answer without a length is complete when the server closes the connection without a reset
    Given a server that closes the connection after an answer without a length
    When a request is sent
    Then the answer is "unframed"

  Scenario: A kept-alive connection that the server closes is distinguished from a lost answer
    Given a server that closes the connection when the second request arrives
    When two requests are sent on one connection
    Then the second request is reported as lost on a kept-alive connection

  Scenario: Nothing is sent to an address on which no server listens
    Given an address on which no server listens
    When a request is sent
    Then nothing was sent

  # Guards against: a request is sent to a server that was told to leave while the
  # connection opened (DRAIN).
  Scenario Outline: Nothing is sent on a <which> connection to a server that no longer takes requests
    Given a server that counts the requests it gets
    When <sent> requests are sent and one more is withheld
    Then the last request was withheld, and the server got <sent>

    Examples:
      | which | sent |
      | new   | 0    |
      | kept  | 1    |
