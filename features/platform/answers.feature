Feature: Answers of faulty backend servers

  # Guards against: an earlier refusal that is written once more on a kept connection is
  # taken for the answer to a request that runs.
  Scenario Outline: An earlier refusal, written once more, is not taken for the answer
    Given a server that <does> on a kept connection
    When two attempts are made, the second on the kept connection
    Then the first outcome is Delivered and the second is <outcome>

    Examples:
      | does                                              | outcome   |
      | repeats an earlier refusal before the answer      | Delivered |
      | repeats an earlier refusal and closes             | Lost      |
      | repeats an earlier refusal without an id          | Lost      |
      | repeats an earlier refusal before its own refusal | NotRun    |

  # Guards against: the late second copy of an answer is taken for the answer to the same
  # request, sent once more on the same connection.
  Scenario Outline: A success, written once more <when>, is not taken for the answer to the next send of its request
    Given a server that succeeds once, writes that success once more <when>, and fails then
    When two attempts with the same id are made, one after the other
    Then the outcomes are Delivered and Failure, each on a connection of its own

    Examples:
      | when                   |
      | at once                |
      | soon after             |
      | before the next answer |

  # Guards against: each request costs a new connection, or a connection that is used for
  # long remembers ids without bound.
  Scenario: Attempts with other ids use a kept connection again
    Given a server that answers each request once
    When 250 attempts with different ids are made, one after the other
    Then all were delivered on 3 connections

  # Guards against: bytes that came while no request waited begin the next answer.
  Scenario Outline: A connection on which <bytes> arrived after its answer is not used again
    Given a server that answers each request and then sends <bytes>
    When two attempts with different ids are made, one after the other
    Then the outcomes are Delivered and Delivered, each on a connection of its own
    And the surplus bytes of each are logged at most once, and those of the first are

    Examples:
      | bytes                         |
      | a copy of the answer          |
      | a copy of it without an id    |
      | half of a copy                |
      | bytes that are no answer      |

  Scenario: A refusal without an id on a new connection is believed
    Given a server that refuses without an id on a new connection
    When one attempt is made
    Then the outcome is NotRun

  # Guards against: a header that is no number that Python can read costs the caller its
  # answer.
  Scenario Outline: A whole answer with the header "<header>" is passed on
    Given a server whose answer has the header "<header>"
    When one attempt is made
    Then the outcome is Delivered

    Examples:
      | header                                      |
      | Keep-Alive: timeout=²                       |
      | Keep-Alive: timeout=4,400 digits            |
      | X-Pimentogap-Replica-Load: ²,0,8            |
      | X-Pimentogap-Replica-Load: 4,400 digits,0,8 |

  # Guards against: an answer whose head was cut off is passed on as a whole one.
  Scenario Outline: An answer that breaks off in <place> is lost
    Given a server that closes the connection in <place>
    When one attempt is made
    Then the outcome is Lost
    And the caller got nothing

    Examples:
      | place                                  |
      | the status line                        |
      | a header's name                        |
      | a header's value                       |
      | the line end after the last header     |
      | a body with a length                   |
      | a chunk                                |
      | the line before the last chunk         |
      | an event of a stream without a length  |
      | a stream without a length or any event |

  Scenario: A stream without a length is passed on as it arrives, and its connection is not used again
    Given a server that sends a stream of 3 events without a length, one each 0.3 seconds
    When one attempt is made
    Then the outcome is Delivered
    And the caller got each event within 0.15 seconds after it was sent
    And no connection is kept

  # Guards against: the error of a second server stands in the middle of a stream that the
  # first began, or ends it as if it were complete.
  Scenario Outline: A stream that broke off ends as broken if the next server answers <what>
    Given a stream that breaks off after 2 events, and a next server that answers <what>
    When the stream is requested through a daemon
    Then the caller got 2 events and then the end of the connection, and nothing else

    Examples:
      | what                              |
      | an error with a seal              |
      | an error without a seal           |
      | a refusal                         |
      | a plain success without events    |
      | an error with a body without end  |

  # Guards against: parts of two answers are joined in one.
  Scenario: A long plain answer that broke off is not continued by another server's
    Given an answer of 2 MB that breaks off halfway, and a next server that is sound
    When the look-up is requested through a daemon
    Then the caller got one head, less than 2 MB and then the end of the connection
