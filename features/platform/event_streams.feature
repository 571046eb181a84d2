Feature: Event streams in every form that the format has

  # Guards against: streams whose lines end with CR LF or CR reach no caller (CONFIG).
  Scenario: Streams pass through as they are, whatever ends their lines
    Then a stream in any form and in any parts is passed on as it is, each event once
    And an event is passed on with the last byte that it needs

  # Guards against: a stream that is resumed repeats its pieces, since their ids are not
  # read (ORDER).
  Scenario Outline: A stream with <ids> goes on after the last piece that was delivered
    Then a stream with <ids> that breaks off after 5 pieces is resumed after the fifth
    And a server that begins anew adds nothing that was delivered

    Examples:
      | ids                       |
      | ids from 1 on             |
      | ids of 19 digits          |
      | ids of 400 digits         |
      | ids with leading zeros    |

  # Guards against: a stream that cannot be resumed is begun anew in the same answer.
  Scenario Outline: A stream with <ids> is not begun anew once a piece was delivered
    Then a stream with <ids> cannot be resumed after 1 piece

    Examples:
      | ids                       |
      | ids that are no numbers   |
      | no ids                    |
      | ids of 5,000 digits       |

  Scenario: Steps of more than one are taken for a gap until a second server confirms them
    Then ids 1, 2, 5, 9 and 30 are lost at 5, and pass when the next server goes on at 5

  # Guards against: events that came in the same bytes before a gap are dropped, and the
  # stream is resumed after them (ORDER).
  Scenario: What comes before a gap is delivered
    Then events 1, 2 and 5 in one part are lost after 2, and 3 to 5 follow from the next

  # Guards against: the id that a caller resumes after is taken off its request.
  Scenario: Any id that a caller resumes after is passed on as it came
    Then any id that a header field can hold is passed on as it came
