Feature: Model groups on the platform

  Background:
    Given a platform with 3 fabric domains of 8 and 3 daemons
    And its groups are open

  Scenario: Groups of every model are open before the first request
    Then there are at least 3 open groups of model large
    And there are at least 3 open groups of model small

  Scenario: A lost member is replaced by a spare that has the weights
    Given traffic has begun
    When 60 seconds pass
    And a member of a group of model large is lost for good
    And 6 streams of model large are requested
    And 7 seconds pass
    Then there are at least 3 open groups of model large
    And no promise about groups was broken

  Scenario: A lost head is replaced once its entry lapses
    Given traffic has begun
    When 60 seconds pass
    And the head of a group of model large is lost for good
    And 4 seconds pass
    And its entry lapses
    And 6 seconds pass
    Then there are at least 3 open groups of model large
    And no promise about groups was broken

  Scenario: A new leader goes on with the groups that the former one was forming
    Given traffic has begun
    When 60 seconds pass
    And a member of a group of model large is lost for good
    And its entry lapses
    And 1 seconds pass
    And a member of a group of model large is lost for good
    And its entry lapses
    And 1 seconds pass
    And the leader is killed
    And 30 seconds pass
    Then there are at least 3 open groups of model large
    And no promise about groups was broken

  Scenario: The leader alone shows how many groups are open
    Then the metrics of the leader show 3 open groups of model large
    And no other daemon shows open groups

  Scenario: A lost leader is replaced within 4 seconds
    When the leader is killed
    And 4 seconds pass
    Then one daemon leads

  Scenario: Groups outlive a restart of every daemon
    Given traffic has begun
    When every daemon is killed and started again
    And 3 seconds pass
    And 6 streams of model large are requested
    And 8 seconds pass
    Then every stream is whole, each event once
    And fewer than 1 model loads were started after the first request
    And no promise about groups was broken

  Scenario: Orders that are carried out late break no promise
    Given traffic has begun
    When 0.5 of the orders are carried out late and not answered
    And a member of a group of model large is lost for good
    And its entry lapses
    And a member of the last group of model small is lost for good
    And its entry lapses
    And 0.0 of the orders are carried out late and not answered
    And 40 seconds pass
    Then there are at least 3 open groups of model large
    And there are at least 3 open groups of model small
    And no promise about groups was broken

  Scenario: Nothing new reaches a group with a draining member
    Given traffic has begun
    When a replica of a group of model large says that it drains
    And 1.5 seconds pass
    Then no new request reaches the draining group

  Scenario: Members of a head that is only cut off from the store leave it first
    Given traffic has begun
    When 60 seconds pass
    And orders to leave take 0.5 seconds
    And the head of a group of model large is cut off from the store
    And its entry lapses
    And 25 seconds pass
    Then there are at least 3 open groups of model large
    And no promise about groups was broken

  Scenario: Loads of weights do not slow each other down
    Given traffic has begun
    When 4 empty replicas are added to each of 3 fabric domains
    And a member of a group of model large is lost for good
    And its entry lapses
    And a member of the last group of model large is lost for good
    And its entry lapses
    And 40 seconds pass
    Then there were never more than 9 loads at once
    And there are at least 3 open groups of model large

  Scenario Outline: A model's share is of the work of backend servers
    Given an engine with models of <size large> and <size small> members and shares of <share large> and <share small>
    Then <n> domains of <size> have room for <large> large and <small> small groups

    Examples:
      | size large | size small | share large | share small | n | size | large | small |
      | 4          | 2          | 0.67        | 0.33        | 6 | 8    | 6     | 6     |
      | 8          | 4          | 0.5         | 0.5         | 9 | 19   | 9     | 18    |
      | 4          | 2          | 0.2         | 0.8         | 6 | 8    | 2     | 14    |

  Scenario Outline: Groups are planned below the targets first, and beyond them by need
    Given an engine with models of 4 and 2 members and shares of 0.67 and 0.33
    And <busy large> and <busy small> busy groups were measured
    When <have large> large and <have small> small groups exist, <target> of each are the target, and <free> of a domain are free
    Then the plan is "<plan>"

    Examples:
      | busy large | busy small | have large | have small | target | free | plan        |
      | 1          | 6          | 4          | 5          | 5      | 5    | large       |
      | 1          | 6          | 4          | 5          | 5      | 3    |             |
      | 1          | 6          | 5          | 5          | 5      | 2    |             |
      | 1          | 6          | 5          | 5          | 5      | 4    | small       |
      | 6          | 1          | 5          | 5          | 5      | 8    | large       |
      | 1          | 1          | 4          | 4          | 5      | 6    | large small |

  Scenario Outline: A group that is larger than the bounds on loads is formed alone
    Given a weight store that carries 6 loads at once and 4 a second
    And a leader for <leading> seconds, while <loading> loads are under way
    Then a group with <count> members to load is <verdict>

    Examples:
      | leading | loading | count | verdict  |
      | 20      | 0       | 16    | admitted |
      | 20      | 3       | 16    | admitted |
      | 20      | 4       | 16    | refused  |
      | 2       | 0       | 16    | refused  |
      | 2       | 5       | 4     | admitted |
      | 20      | 6       | 4     | refused  |
