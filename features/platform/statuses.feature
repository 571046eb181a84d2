Feature: Statuses of answers

  # Guards against: a number that is no status reaches the caller as an answer (MIXED).
  Scenario: Of all numbers in a status line, callers get only final statuses of HTTP
    Given a server over sockets that answers with the status that it is asked for
    When each status from 0 to 999 is asked for
    Then those from 200 to 599 are the caller's, but for 421, which was not run
    And all others are lost, and the server can be asked again

  Scenario Outline: A head that begins with "<line>" is a lost answer
    Given a server over sockets that answers with the line "<line>"
    When it is asked once
    Then the answer is lost, and nothing reached the caller

    Examples:
      | line               |
      | HTTP/1.1 20        |
      | HTTP/1.1 2000      |
      | HTTP/1.1 -20 OK    |
      | HTTP/1.1 +20 OK    |
      | HTTP/1.1 0x2 OK    |
      | HTTP/1.1 20\xb2 OK |
      | HTTP/1.1  200 OK   |
      | HTTP/2.0 200 OK    |
      | HTTP/0.9 200 OK    |
      | ICY 200 OK         |
      | 200 OK             |

  # Guards against: an engine or the store is believed to have answered with such a number.
  Scenario: Orders and calls to the store that get such a number are unanswered
    Given a server over sockets that answers with the status that it is asked for
    When each status from 0 to 999 is the answer to an order and to a read of the store
    Then each order and each read with a status outside of 200 to 599 is unanswered
