Feature: Calls between daemons

  Scenario: A call that times out does not end another call on the same connection
    Given a daemon that answers the call "slow" after 0.6 seconds and "never" not at all
    When another daemon calls "slow" and "never", each for at most 0.9 and 0.2 seconds
    Then "slow" is answered and "never" is lost

  Scenario: A large answer is compressed, unless the caller cannot undo it
    Given an answer with 500 backend servers
    Then its compressed encoding is less than a quarter as long as the plain one
    And both decode to the same answer
    And both decode with the fields of each caller added

  Scenario Outline: A malformed answer is refused
    Then the answer <what> is refused as malformed

    Examples:
      | what                              |
      | that is no JSON                   |
      | whose compressed bytes are cut    |
      | whose compressed bytes are broken |
