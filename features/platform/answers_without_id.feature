Feature: Answers without an id

  # Guards against: the second copy of an answer is taken for the answer to the next call.
  Scenario Outline: <second> after <first> gets its own answer, if the one before comes again <when>
    Given a server that answers the first call twice, the second time <when>
    When <first> and then <second> are sent to it
    Then the second call got its own answer

    Examples:
      | first    | second         | when                   |
      | an order | a second order | at once                |
      | an order | a second order | soon after             |
      | an order | a second order | before the next answer |
      | an order | a report       | at once                |
      | an order | a report       | before the next answer |
      | a report | a second order | at once                |
      | a report | a second order | before the next answer |
      | a report | a health check | at once                |
      | a report | a health check | soon after             |
      | a report | a health check | before the next answer |

  # Guards against: every later call to the store gets the answer to the one before.
  Scenario Outline: Calls to the store get their own answers, if the first answer comes again <when>
    Given a store that answers the first call twice, the second time <when>
    When five objects are read from it
    Then <count> or more reads got their own object, and none another one

    Examples:
      | when                   | count   |
      | at once                | 5       |
      | soon after             | 5       |
      | before the next answer | 4       |

  Scenario: Calls to a sound store share a connection
    Given a store that answers each call once
    When five objects are read from it
    Then one connection was opened
