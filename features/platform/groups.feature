Feature: Model groups on the platform

  Background:
    Given a platform with 3 fabric domains of 8 replicas and 3 daemons
    And its groups are open

  Scenario: Groups of every model are open before the first request
    Then there are at least 3 open groups of model large
    And there are at least 3 open groups of model small

  Scenario: A lost member is replaced by a spare that has the weights
    Given a first request has been answered
    When 60 seconds pass
    And a member of a group of model large is lost for good
    And 6 streams of model large are requested
    And 7 seconds pass
    Then there are at least 3 open groups of model large
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: A lost head is replaced once its entry expires
    Given a first request has been answered
    When 60 seconds pass
    And the head of a group of model large is lost for good
    And 4 seconds pass
    And its entry expires
    And 6 seconds pass
    Then there are at least 3 open groups of model large
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: A new leader continues to form the groups that its predecessor had started
    Given a first request has been answered
    When 60 seconds pass
    And a member of a group of model large is lost for good
    And its entry expires
    And 1 seconds pass
    And a member of a group of model large is lost for good
    And its entry expires
    And 1 seconds pass
    And the leader is killed
    And 30 seconds pass
    Then there are at least 3 open groups of model large
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: Only the leader exports the number of open groups
    Then the metrics of the leader show 3 open groups of model large
    And no other daemon exports the number of open groups

  Scenario: A lost leader is replaced within 4 seconds
    When the leader is killed
    And 4 seconds pass
    Then exactly one daemon is leader

  Scenario: Groups survive a restart of every daemon
    Given a first request has been answered
    When every daemon is killed and started again
    And 3 seconds pass
    And 6 streams of model large are requested
    And 8 seconds pass
    Then every stream is complete, with each event exactly once
    And fewer than 1 model loads were started after the first request
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: Orders that are carried out late cause no double membership and no incomplete group
    Given a first request has been answered
    When 0.5 of the orders are carried out late and not answered
    And a member of a group of model large is lost for good
    And its entry expires
    And a member of the last group of model small is lost for good
    And its entry expires
    And 0.0 of the orders are carried out late and not answered
    And 40 seconds pass
    Then there are at least 3 open groups of model large
    And there are at least 3 open groups of model small
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: No new request reaches a group with a draining member
    Given a first request has been answered
    When a member of a group of model large reports that it is draining
    And 1.5 seconds pass
    Then no new request reaches the draining group

  Scenario: Members leave a head that is only cut off from the store before they join another group
    Given a first request has been answered
    When 60 seconds pass
    And orders to leave take 0.5 seconds
    And the head of a group of model large is cut off from the store
    And its entry expires
    And 25 seconds pass
    Then there are at least 3 open groups of model large
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: A group goes on serving while a member is cut off from the store alone
    Given a first request has been answered
    When 60 seconds pass
    And a member of a group of model large is cut off from the store
    And its entry expires
    And 1.5 seconds pass
    Then there are 3 open groups of model large, each since before the cut
    And every daemon knows 3 heads of model large
    When the member reaches the store again
    And 15 seconds pass
    Then there are 3 open groups of model large, each since before the cut
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: A group that is being formed opens although a member is cut off from the store
    Given a first request has been answered
    When 60 seconds pass
    And a member of a group of model large is lost for good
    And its entry expires
    And 1 seconds pass
    And a joining member of a group is cut off from the store
    And its entry expires
    And 4 seconds pass
    Then there are at least 3 open groups of model large
    And no replica was in two groups, and no incomplete group ran a request

  Scenario: A group of an absent member that is about to leave is drained
    Given a first request has been answered
    When 60 seconds pass
    And 6 streams of model large are requested
    And 0.2 seconds pass
    And a member of a group of model large leaves without having said so
    And its entry expires
    And 8 seconds pass
    Then every stream is complete, with each event exactly once
    And there are at least 3 open groups of model large

  Scenario: Concurrent weight loads are limited so that they do not slow each other down
    Given a first request has been answered
    When 4 empty replicas are added to each of 3 fabric domains
    And a member of a group of model large is lost for good
    And its entry expires
    And a member of the last group of model large is lost for good
    And its entry expires
    And 40 seconds pass
    Then there were never more than 9 loads at once
    And there are at least 3 open groups of model large

  Scenario: The leader limits loads once another daemon has admitted a request
    Given a daemon other than the leader has answered a first request
    When 4 empty replicas are added to each of 3 fabric domains
    And 10 seconds pass
    Then there were never more than 9 loads at once

  Scenario Outline: A model's share is counted in backend servers, not in groups
    Given an engine with models of <size large> and <size small> members and shares of <share large> and <share small>
    Then the targets for <n> domains of <size> backend servers are <large> large and <small> small groups

    Examples:
      | size large | size small | share large | share small | n | size | large | small |
      | 4          | 2          | 0.67        | 0.33        | 6 | 8    | 6     | 6     |
      | 8          | 4          | 0.5         | 0.5         | 9 | 19   | 9     | 18    |
      | 4          | 2          | 0.2         | 0.8         | 6 | 8    | 2     | 14    |

  Scenario Outline: Groups below their target are planned first, further groups by measured demand
    Given an engine with models of 4 and 2 members and shares of 0.67 and 0.33
    And <busy large> and <busy small> busy groups were measured
    When <have large> large and <have small> small groups exist, the target is <target> of each, and <free> backend servers of a domain are free
    Then the plan is "<plan>"

    Examples:
      | busy large | busy small | have large | have small | target | free | plan        |
      | 1          | 6          | 4          | 5          | 5      | 5    | large       |
      | 1          | 6          | 4          | 5          | 5      | 3    |             |
      | 1          | 6          | 5          | 5          | 5      | 2    |             |
      | 1          | 6          | 5          | 5          | 5      | 4    | small       |
      | 6          | 1          | 5          | 5          | 5      | 8    | large       |
      | 1          | 1          | 4          | 4          | 5      | 6    | large small |

  # Guards against: callers are refused while the model that they need could have a group
  # of idle backend servers.
  Scenario Outline: An overloaded model may use the spares, unless a model is below its target
    Given an engine with models of 4 and 2 members and shares of 0.67 and 0.33
    And <busy large> and <busy small> busy groups were measured
    And <overload>
    When <have large> large and <have small> small groups exist, the target is 5 of each, and <free> backend servers of a domain are free
    Then the plan is "<plan>"

    Examples:
      | busy large | busy small | overload                  | have large | have small | free | plan  |
      | 1          | 6          | no model is overloaded    | 5          | 5          | 2    |       |
      | 1          | 6          | model small is overloaded | 5          | 5          | 2    | small |
      | 3          | 6          | model small is overloaded | 5          | 9          | 2    | small |
      | 6          | 1          | model large is overloaded | 5          | 5          | 4    | large |
      | 1          | 6          | model small is overloaded | 4          | 5          | 3    |       |

  Scenario Outline: Hosts without weights load before those with other weights (many servers replaced)
    Given an engine with models of 4 and 2 members and shares of 0.67 and 0.33
    When the free backend servers of each domain are "<free>", with weights of large, small or nothing (-)
    Then the plan with its loads is "<plan>"

    Examples:
      | free            | plan                            |
      | LLL-ss          | large:1 small:0                 |
      | ss-LLL          | large:1 small:0                 |
      | LLLLss          | large:0 small:0                 |
      | LLLss- LLLL     | large:0 small:0 large:1         |
      | ----            | large:4                         |
      | LL---- ssss     | large:2 small:0 small:0 small:2 |

  Scenario Outline: A group that needs more loads than the limits allow is formed alone
    Given a weight store that supports 6 loads at once and 4 new loads a second
    And a daemon that has been leader for <leading> seconds, while <loading> loads are in progress
    Then a group with <count> members to load is <verdict>

    Examples:
      | leading | loading | count | verdict  |
      | 20      | 0       | 16    | admitted |
      | 20      | 3       | 16    | admitted |
      | 20      | 4       | 16    | refused  |
      | 2       | 0       | 16    | refused  |
      | 2       | 5       | 4     | admitted |
      | 20      | 6       | 4     | refused  |

  # Guards against: loads that slow each other down are taken for ended, and more begin.
  Scenario Outline: Loads that slow each other down count until they end
    Given a weight store that supports 6 loads at once and 4 new loads a second
    And a daemon that has been leader for 20 seconds, while 1 loads are in progress
    When a group with 8 members to load is admitted
    And <share> of the time that one load takes alone has passed
    Then a group with 4 members to load is <verdict>

    Examples:
      | share | verdict  |
      | 0.9   | refused  |
      | 1.1   | refused  |
      | 1.4   | refused  |
      | 1.6   | admitted |
