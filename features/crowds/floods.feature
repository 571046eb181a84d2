Feature: Bytes without end from backend servers, to many callers at once

  Real processes on loopback: a front daemon, a backend server that floods each request
  until its connection is closed, and a sound one. What is checked does not depend on the
  machine's speed.

  # Guards against: each answer is bounded and all together are not, so that the process
  # runs out of memory and ends what other callers have under way (LOST).
  Scenario Outline: <kind> without end, to 600 callers that <do>, cost less than <memory> MB
    Given a front daemon with <memory> MB of memory, and a server with 300 places that floods
    When 600 callers that <do> are sent <kind> without end, while 5 others have requests under way
    Then the flooded daemon is the same process
    And the memory of the flooded daemon has stayed under the limit
    And all requests of the others were answered whole
    And an ordinary request afterwards is answered with 200
    And callers got a whole answer from the flood only if there was one

    Examples: plain answers
      | kind                          | do         | memory |
      | a body without id and seal    | read       | 200    |
      | a failure without id and seal | read       | 200    |
      | a failure of its own          | read       | 200    |
      | a refusal                     | read       | 200    |
      | a body of its own             | read       | 200    |
      | a body of its own             | don't read | 200    |
      | large chunks                  | don't read | 200    |
      | chunks of one byte            | read       | 200    |
      | chunks of one byte            | don't read | 200    |
      | one endless chunk             | read       | 200    |
      | a length of 10^12             | read       | 200    |
      | trailers                      | read       | 200    |
      | an endless chunk size         | read       | 200    |
      | bytes that are no head        | read       | 200    |
      | an endless header line        | read       | 200    |
      | headers                       | read       | 200    |
      | interim answers               | read       | 200    |
      | a body of another request     | read       | 200    |
      | bytes after a whole answer    | read       | 200    |

    Examples: streams
      | kind                          | do         | memory |
      | an event                      | read       | 200    |
      | comments                      | read       | 200    |
      | events without ids            | read       | 200    |
      | events without ids            | don't read | 200    |
