Feature: What a deployment of real processes serves

  Scenario Outline: A wrong <what> is reported before anything is started
    When the measuring run is called with <what> <value>
    Then it ends with code 2, names <named> and starts nothing

    Examples:
      | what    | value                  | named              |
      | shape   | of 0 daemons           | daemons            |
      | shape   | without kinds          | kinds              |
      | shape   | with an unknown field  | colour             |
      | shape   | of a kind of 5 retires | retires            |
      | shape   | that is no YAML        | YAML               |
      | shape   | that is not there      | No such file       |
      | trouble | earthquake             | earthquake         |
      | seconds | -1                     | seconds            |
      | rate    | nan                    | rate               |

  Scenario: The same seed draws the same requests, at the rates of the shape
    Then two draws of 100 seconds of seed 3 are equal and differ from seed 4
    And each kind of request comes as often as its shape says, within 4 deviations

  Scenario: The verdict counts what is not served beyond the undisturbed run
    Given results of 1000 requests, of which 20 are not served
    When they are judged beside an undisturbed run of 1000 requests, 0 not served
    Then the verdict has no problem
    Given results of 1000 requests, of which 31 are not served
    When they are judged beside an undisturbed run of 1000 requests, 0 not served
    Then the verdict has a problem that says "31 of 1000 requests not served"

  Scenario: The verdict counts each caller that got no answer
    Given results of 1000 requests, of which 1 is not answered
    When they are judged beside an undisturbed run of 1000 requests, 0 not served
    Then the verdict has a problem that says "no answer"

  Scenario: The verdict counts what is late for longer than the time of recovery
    Given results of 1000 requests, of which 1 in 10 is late from second 22 on
    When they are judged beside an undisturbed run of 1000 requests, 0 not served
    Then the verdict has a problem that says "served in time"
