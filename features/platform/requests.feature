Feature: Requests on the platform

  Background:
    Given a platform with 3 fabric domains of 8 replicas and 3 daemons
    And its groups are open

  Scenario: Streams of a group that loses a member continue on another group
    When 9 streams of model large are requested
    And 0.6 seconds pass
    And a member of a group of model large is lost for good
    And 8 seconds pass
    Then every stream is complete, with each event exactly once
    And no stream paused for more than 1.5 seconds
    And the replicas receive the workspace that owns the caller's key

  Scenario: A booking whose answer is lost is never run twice
    When all replicas of the plain service lose 0.5 of their answers
    And 40 bookings are requested
    And 3 seconds pass
    Then every booking has a final answer
    And no booking ran twice
    And every booking that was refused as not run did not run

  Scenario: A booking that the replicas refuse is reported as not run only if it did not run
    When all replicas of the plain service refuse 1.0 of their requests
    And 10 bookings are requested
    And 2 seconds pass
    Then every booking has a final answer
    And every booking that was refused as not run did not run

  Scenario: A booking does not wait for a replica that cannot be reached
    When replica 0 of the plain service is unreachable
    And 20 bookings are requested
    And 2 seconds pass
    Then at least 20 bookings succeed
    And no booking ran twice

  Scenario: A look-up is retried when its answer is lost
    When all replicas of the plain service lose 0.1 of their answers
    And 5 look-ups are requested
    And 2 seconds pass
    Then every look-up succeeds

  Scenario: The log records which attempt was abandoned when the caller disconnected
    Given the log is captured
    When 1 streams of model large are requested
    And 0.3 seconds pass
    And the callers disconnect
    Then the log line "request ended" of the first stream has an attempt that was "abandoned"

  Scenario Outline: A stopping daemon accepts late requests only if they can finish in time
    Given front-0 was told <ago> seconds ago to stop within 7.3 seconds
    When front-0 receives a <what>
    And 3 seconds pass
    Then the answer is <status>

    Examples:
      | what    | ago | status |
      | stream  | 2.5 | 200    |
      | stream  | 3.0 | 503    |
      | look-up | 3.0 | 200    |
      | look-up | 6.2 | 503    |

  Scenario: A stream that goes on with parts of an event, but no event, continues on another group
    Given one head of model large trickles after 3 events
    When 3 streams of model large are requested
    And 7 seconds pass
    Then every stream is complete, with each event exactly once

  Scenario: A slow but sound stream is not cut
    Given every replica of the model service is 6 times slower
    When 3 streams of model large are requested
    And 7.9 seconds pass
    Then every stream is complete, with each event exactly once
    And no stream had more than 2 attempts

  # Guards against: a group that is only slow is left out, by the daemon and the leader, for
  # each of its streams that reaches the deadline, and callers are refused meanwhile.
  Scenario: A slow but sound stream that reaches its deadline makes no backend server suspect
    Given the log is captured
    When 3 streams of model large are requested
    And 0.1 seconds pass
    And every replica of the model service is 12 times slower
    And 8.5 seconds pass
    Then no stream is complete
    And the log has no line "backend suspect"

  Scenario: Streams of a model that is slow everywhere stay where they are (overload)
    When 30 streams of model large arrive each second for 8 seconds
    And 9 seconds pass
    Then the replicas ran at most 1.1 attempts for each stream

  Scenario: Streams of a group that stops are still resumed quickly under a normal load
    When 6 streams of model large arrive each second for 4 seconds
    And a member of a group of model large is lost for good
    And 6 streams of model large arrive each second for 2 seconds
    And 8 seconds pass
    Then every stream is complete, with each event exactly once
    And no stream paused for more than 1.0 seconds

  # Guards against: a request that was taken is cut without an answer when the grace ends.
  Scenario Outline: A <what> that runs until the daemon stops gets a final answer
    Given requests of all routes may last 20 seconds
    And every plain replica takes 12 seconds for a request
    And front-0 was told <ago> seconds ago to stop within 7.3 seconds
    When front-0 receives a <what>
    And 6.9 seconds pass
    Then the answer is <status>

    Examples:
      | what    | ago | status |
      | booking | 0.2 | 502    |
      | look-up | 0.2 | 502    |
      | booking | 3.0 | 503    |
