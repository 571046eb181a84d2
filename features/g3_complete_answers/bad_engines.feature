Feature: Engines that misbehave do not corrupt answers (G3)

  Scenario Outline: An engine <misbehaves> in the middle of an answer
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When every engine of fabric domain z-a-f0 <misbehaves>
    And callers send requests to every daemon at a steady rate for 2 s
    Then every caller has the complete answer to its own request

    Examples:
      | misbehaves                |
      | closes after 2 tokens     |
      | sends garbage             |
      | repeats a token           |
      | falls silent              |

  Scenario: A caller that reads slowly slows the engine down by back-pressure
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When a caller that reads 1 event a second asks daemon 0 for 500 tokens
    And 20 s pass
    Then the engine has sent at most 25 tokens of the answer
