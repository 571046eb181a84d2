Feature: Bytes without end from a backend server

  Scenario Outline: Bytes without end in <place> cost one attempt and little memory
    Given a server that sends bytes without end in <place>
    And a sound server
    When an attempt is made at the first server, and look-ups at the sound one meanwhile
    Then the attempt is lost within 3 seconds
    And the process needed less than 8 MB more for it
    And no look-up took longer than 0.5 seconds
    And the connection to the first server is closed

    Examples:
      | place                           |
      | a status line                   |
      | one header                      |
      | headers                         |
      | informational answers           |
      | a body without length           |
      | a body of another request       |
      | a chunk size                    |
      | an event                        |
      | trailers                        |
