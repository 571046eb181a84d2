Feature: Connections to backend servers

  Scenario: A late answer to an earlier request is dropped
    Given a server that answers the first request twice
    When two requests are sent on one connection
    Then each request got its own answer

  Scenario: An answer without a length that is reset is not whole
    Given a server that resets an answer without a length
    When a request is sent
    Then the answer is lost

  Scenario: An answer without a length that ends in order is whole
    Given a server that ends an answer without a length
    When a request is sent
    Then the answer is "unframed"

  Scenario: A kept connection that the server closes is told from a lost answer
    Given a server that closes after the second request arrives
    When two requests are sent on one connection
    Then the second one is told to be lost on a kept connection

  Scenario: Nothing is sent where nobody listens
    Given an address where nobody listens
    When a request is sent
    Then nothing was sent
