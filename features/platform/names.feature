Feature: Names that the pages do not bound

  # Guards against: requests of a workspace whose name is not Latin-1 get no answer (CONFIG).
  Scenario Outline: Requests of a workspace whose name has <what> are served under that name
    Given a platform with 3 plain replicas alone and 2 daemons
    When version 2 adds a workspace whose name has <what>
    And 1 seconds pass
    And 10 bookings and 10 look-ups of it are requested
    And 1 seconds pass
    Then each of them gets 200
    And the replicas got them under the name of the workspace

    Examples:
      | what                 |
      | Latin-1              |
      | a ligature           |
      | other scripts        |
      | an emoji             |
      | dots and slashes     |
      | quotes               |
      | blanks at both ends  |
      | 10,000 letters       |
      | nothing in it        |

  # Guards against: a name that HTTP cannot carry ends requests without an answer.
  Scenario Outline: Requests of a workspace whose name has <what> are refused as not run
    Given a platform with 3 plain replicas alone and 2 daemons
    And the log is captured
    When version 2 adds a workspace whose name has <what>
    And 1 seconds pass
    And 10 bookings and 10 look-ups of it are requested
    And 10 bookings and 10 look-ups of another workspace are requested
    And 1 seconds pass
    Then all of the first are refused as not run, within 0.1 seconds
    And each of the others gets 200

    Examples:
      | what             |
      | a line end       |
      | a NUL            |
      | a lone surrogate |

  # Guards against: orders to a replica whose id is not Latin-1 end with an error.
  Scenario Outline: A replica whose id has <what> gets requests, orders and health checks
    Given a replica over sockets whose id has <what>
    When it gets a request, an order, a report and a health check
    Then it was named in each of them

    Examples:
      | what              |
      | a ligature        |
      | other scripts     |
      | quotes            |

  Scenario Outline: An entry whose name has <what> names no replica
    Then an entry whose name has <what> is left out

    Examples:
      | what             |
      | a line end       |
      | a NUL            |
      | a lone surrogate |

  # Guards against: a quote in a name ends the metrics' label.
  Scenario: Metrics escape the names in their labels
    Then a metric of each of the names is written in one line, with its quotes escaped

  # Guards against: an error that nothing foresees closes the caller's connection.
  Scenario Outline: An unexpected error <where> gives each caller a truthful answer
    Given a platform with 3 plain replicas alone and 2 daemons
    And the log is captured
    When an error that nothing foresees is raised <where>
    And 10 bookings and 10 look-ups of another workspace are requested
    And 1 seconds pass
    Then each of them gets <status>
    And the log names each of them with the error

    Examples:
      | where                      | status |
      | by the connections         | 502    |
      | while a server is chosen   | 503    |

  Scenario: An unexpected error of forwarding is answered over the socket
    Given a front end with small limits
    When a request comes in while forwarding raises an error
    Then the caller gets 502 and the connection is closed

  Scenario: Text is the same after it has crossed a connection as a header field
    Then any text that a header field can hold is read as it was sent

  # Guards against: a head that no page describes ends a request or an attempt with an error.
  Scenario: No value of any header field ends its decoding
    Then any head of a request is decoded, and sent on or known not to be sendable
    And any head of an answer is decoded, with numbers that are finite

  Scenario: Any text in a configuration is decoded as it stands
    Then names, hosts, prefixes and keys of any text are those of the decoded configuration

  # Guards against: names and keys are compared as Latin-1 with what the pages give as text.
  Scenario Outline: A caller's <field> that is not ASCII is read as text
    Given a front end with small limits
    When "Œufs 🧀" comes in as the <field> of a request
    Then the request is passed on with "Œufs 🧀" as its <field>

    Examples:
      | field |
      | key   |
      | model |
      | host  |

  # Guards against: a model is named by what stands before the first dot (CONFIG).
  Scenario: The group of a model is known by the model's name, whatever characters it has
    Then the model of a group is that for which it was formed, for any name
