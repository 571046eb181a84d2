Feature: A configuration is checked before it is sent

  Scenario Outline: <case> is reported as <kind> at <place>
    Given a configuration that is sound
    When it is changed: <case>
    Then the check reports <kind> at <place> and exits with <code>

    Examples:
      | case                            | kind          | place        | code |
      | a route without a name          | error         | routes[0].name | 2  |
      | a timeout that is a string      | error         | routes[0].timeoutMs | 2 |
      | a service that is a number      | error         | services[1]  | 2    |
      | a route twice                   | never_matches | routes[3]    | 1    |
      | a prefix without a slash        | never_matches | routes[1]    | 1    |
      | a route to an unknown service   | never_matches | routes[1]    | 1    |
      | a model route to a plain service | never_matches | routes[0]   | 1    |
      | a service without a route       | never_matches | services[2]  | 1    |
      | a workspace without a key       | never_matches | tenants[1]   | 1    |
      | a timeout below the objective   | contradiction | routes[0]    | 1    |
      | attempts beyond the timeout     | contradiction | routes[1]    | 1    |
      | attempts of a booking           | contradiction | routes[2]    | 1    |
      | shares above one                | contradiction | services[0]  | 1    |
      | a cold rate without a time      | contradiction | services[0]  | 1    |
      | bodies beyond the memory        | contradiction | limits       | 1    |
      | headers beyond the memory       | contradiction | limits       | 1    |
      | ranks that workspaces replace   | contradiction | routes[1]    | 1    |

  Scenario: All errors are reported at once
    Given a configuration that is sound
    When it is changed: a route without a name
    And it is changed: a timeout that is a string
    And it is changed: a service that is a number
    Then the check reports 3 errors

  Scenario: What differs is named with what callers notice first
    Given a configuration that is sound
    When it becomes version 2 with a key taken away, a route moved and a longer timeout
    Then the changes name the key, the service and the timeout in this order

  Scenario Outline: A file that holds <content> gets a clear error
    When a file that holds <content> is checked
    Then the check reports one error about <what> and exits with 2

    Examples:
      | content                | what     |
      | nothing                | empty    |
      | random bytes           | UTF-8    |
      | 100 MB of blanks       | bytes    |
      | 100,000 nested lists   | nesting  |
      | 100 nested lists       | nesting  |
      | a key twice            | version  |
      | YAML                   | Expecting |
      | a list                 | list     |

  # The check and the daemons decode with the same code, and the router decides alone.
  Scenario: What is sound is followed, and what never matches is never chosen
    Then 300 random configurations without errors are put in force by a daemon
    And the router never chooses a route that the check says never matches
