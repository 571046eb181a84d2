Feature: Evidence against prompt parts

  Scenario Outline: A part is quarantined after enough crashes in enough requests
    When <crashes> servers end under requests with one part, of <requests> different requests
    Then the part is <state>

    Examples:
      | crashes | requests | state           |
      | 2       | 2        | not quarantined |
      | 3       | 1        | not quarantined |
      | 3       | 2        | quarantined     |
      | 5       | 3        | quarantined     |

  Scenario: What ran beside a deadly part is not suspected for the same crashes
    When 3 servers end under the parts "deadly" and, at 2 of them, "beside"
    And 1 more server ends under the part "beside" and another request
    Then only the parts "deadly" are on the list

  Scenario: A part that was released needs more crashes and a newer answer
    Given the part "again" was quarantined and released
    When 3 more servers end under the part "again"
    Then only the parts "" are on the list
    When 1 more servers end under the part "again"
    Then only the parts "again" are on the list
    And an answer from before these crashes does not release it, and a later one does

  Scenario: One trial is granted at a time, and ever more rarely
    Given the part "deadly" was quarantined after 3 crashes
    Then a trial is granted after 1 s, and no other before its outcome
    And after the next crash a trial is granted after 12 s
    And after the next crash a trial is granted after 60 s

  Scenario: A new leader keeps the list of the one before
    Given the part "deadly" was quarantined after 3 crashes
    When another leader continues with the list
    Then its list has the part "deadly" with 3 strikes

  # Guards against: each change of the leader lets requests with deadly parts through.
  Scenario: A new leader does not hurry the trials of several parts that it knows from the list
    Given the part "deadly" was quarantined after 5 crashes
    And the part "fatal" was quarantined after 5 crashes too
    When another leader continues with the list
    Then the trial of each part is due 60 s after its last strike

  # Guards against: sound parts are suspected for crashes whose cause is reported later.
  Scenario: What ran beside a quarantined part is not suspected, in whatever order reports arrive
    Given the part "deadly" was quarantined after 3 crashes
    When 5 servers end under "deadly", and "beside" is reported first for each
    Then only the parts "deadly" are on the list

  # Guards against: a sound part that is quarantined first clears the deadly one beside it.
  Scenario: The release of a sound part brings back what counts against the others
    When 3 servers end under the parts "sound" and, at 2 of them, "deadly"
    Then only the parts "sound" are on the list
    When the part "sound" is answered
    And 1 more server ends under the part "deadly" and another request
    Then only the parts "deadly" are on the list

  Scenario: The evidence stays bounded, whatever callers send
    When servers end under 200000 different parts, of 100 requests each
    Then the leader knows at most 1064 parts
    And a daemon that has seen as many parts answered remembers at most 4096

  Scenario Outline: A malformed <what> is refused
    Then the <what> <text> is refused as malformed

    Examples:
      | what   | text                                           |
      | list   | {}                                             |
      | list   | {"term": 1, "serial": 1, "parts": []}          |
      | list   | {"term": 1, "serial": 1, "parts": {"a": 3}}    |
      | list   | {"term": "x", "serial": 1, "parts": {}}        |
      | report | {}                                             |
      | report | {"strikes": [1], "served": []}                 |
      | report | {"strikes": [["a", "b"]], "served": []}        |
      | report | {"strikes": [], "served": [["a", "soon"]]}     |

  Scenario Outline: The shared parts of a prompt are all but the last
    Then the header <header> names the parts <parts>

    Examples:
      | header                     | parts  |
      | "ab:40,CD:3,ef:1"          | ab,cd  |
      | "ab:40"                    | none   |
      | ","                        | none   |
      | "ab:40, ,ab:40,ef:1"       | ab     |
      | "ab,cd:x:y,ef"             | ab,cd  |
