Feature: A peer that sends without pause does not keep the event loop to itself

  Scenario Outline: A backend server sends <what> as fast as it can
    Given a backend server that sends <what> as fast as it can
    When an attempt is made there, for 1 second at most
    Then the event loop was held for no more than 20 ms at a time
    And the attempt <ends>

    Examples:
      | what                                   | ends          |
      | comments                               | is lost       |
      | empty events                           | is lost       |
      | events without data                    | is lost       |
      | events that were delivered before      | is lost       |
      | new events                             | goes on       |
      | an event in parts of one byte          | goes on       |
      | a plain answer in parts of one byte    | goes on       |
      | another answer in parts of one byte    | goes on       |
      | informational answers                  | is lost       |

  Scenario: The platform's store sends a document in parts of one byte as fast as it can
    Given a backend server that sends a plain answer in parts of one byte as fast as it can
    When a document is read there, for 1 second at most
    Then the event loop was held for no more than 20 ms at a time

  Scenario: A caller sends a body in parts of one byte as fast as it can
    Given a listening daemon
    When the body of a request arrives in parts of one byte, for 1 second at most
    Then the event loop was held for no more than 20 ms at a time

  Scenario Outline: Only events that the caller wants are progress of a stream
    Given a stream of which event 1 was delivered
    When 2000 bytes of <kind> arrive 1 second later
    Then the time of its last progress is <time>

    Examples:
      | kind                              | time           |
      | comments                          | that of before |
      | a comment without end             | that of before |
      | events that were delivered before | that of before |
      | events without data               | that of before |
      | an event without end              | now            |
      | new events                        | now            |

  Scenario: Comments are passed on, those before the first event together with it
    Given a stream of which nothing was delivered
    When a comment, event 1, a comment and event 2 arrive
    Then the caller got nothing before event 1, and all four in the end

  Scenario: How long the event loop is held stands in the metrics
    Then the metrics of an event loop that was held for 30 ms show it
