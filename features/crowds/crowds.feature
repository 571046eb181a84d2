Feature: Crowds of callers that nobody controls

  Real processes on loopback. What is checked does not depend on the machine's speed.

  Background:
    Given a front daemon with 160 MB of memory, 500 descriptors and bodies of up to 2 MiB

  Scenario Outline: A crowd that sends <what> ends no process
    When a crowd of <count> callers sends <what> and stays
    Then the daemon is the same process
    And its memory has stayed under the limit
    And its descriptors have stayed under the limit
    And an ordinary request meanwhile is answered with 200

    Examples: habits
      | what                                       | count |
      | bodies that stop 7 bytes short             | 150   |
      | bodies in pieces that stop 7 bytes short   | 150   |
      | large chunks that stop 7 bytes short       | 150   |
      | chunks of one byte                         | 150   |
      | chunks far over the limit                  | 150   |
      | one chunk far over the limit               | 150   |
      | bodies announced far over the limit        | 150   |
      | bodies far over the limit without notice   | 150   |
      | heads that drip                            | 150   |
      | nothing                                    | 600   |
      | requests without reading their answers     | 150   |

  Scenario Outline: <count> of the largest bodies are served in calm
    When <count> callers send whole bodies of the largest size
    Then all of them are answered with 200
    And the daemon is the same process
    And its memory has stayed under the limit

    Examples: sizes
      | count |
      | 1     |
      | 10    |
