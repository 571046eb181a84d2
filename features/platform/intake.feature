Feature: What a daemon takes from its callers

  Background:
    Given an intake with room for 41 MiB of bodies and 20 connections

  Scenario: The only large body always fits
    When "a" sends a body of 100 MiB
    Then "a" is admitted

  Scenario: A large body waits for room, and a small one does not
    Given "a" is served with a body of 30 MiB
    When "b" sends a body of 4 MiB
    And "c" sends a body of 1 KiB
    Then "c" is admitted
    And "b" waits
    When "a" has been answered
    Then "b" is admitted

  Scenario: A body that finds no room in time may come again
    Given "a" is served with a body of 30 MiB
    When "b" sends a body of 4 MiB
    And 1.5 seconds pass
    Then "b" has no room

  Scenario: A body that stands still gives way, one that gets on does not
    Given "a" reads a body of 15 MiB
    And "b" reads a body of 15 MiB
    When 0.8 seconds pass
    And "a" receives 64 KiB
    And 0.3 seconds pass
    And "c" sends a body of 4 MiB
    Then "b" is turned away
    And "c" is admitted
    And "a" is admitted

  Scenario: Of bodies that grow, the youngest gives way at once
    Given "a" reads a body of 15 MiB
    And "b" reads a body of 15 MiB
    When "b" needs 4 MiB more
    Then "b" has no room
    When "a" needs 4 MiB more
    Then "a" is admitted

  Scenario: An address that holds more than its part gives way to others
    Given "a" reads a body of 10 MiB
    And "b" reads a body of 10 MiB
    And "c" reads a body of 10 MiB
    And "d" of another address reads a body of 128 KiB
    When "d" needs 4 MiB more
    Then "c" is turned away
    And "d" is admitted

  Scenario: A connection without a request makes room for a new one, a busy one does not
    Given "a" is served with a body of 1 KiB
    And 19 connections on which nothing was sent
    When "b" connects
    Then the eldest silent connection is closed
    And "a" is admitted

  Scenario: No connection is closed within the pages' limits, whatever its pace
    Given "a" reads a body of 15 MiB
    And "b" is idle
    And "c" has sent a part of its head
    When 2.9 seconds pass
    Then nobody is closed
    When 1.8 seconds pass
    Then "c" is closed
    When 10.2 seconds pass
    Then "b" is not closed
    When 2 seconds pass
    Then "b" is closed
    And "a" is not closed
    When 50 seconds pass
    Then "a" is turned away

  Scenario: One late sweep judges nobody, late sweeps one after the other do
    Given "a" has sent a part of its head
    When 3.9 seconds pass
    And a sweep comes late
    Then "a" is not closed
    When a sweep comes late
    Then "a" is closed

  Scenario: Who does not take its answer is closed once too much is held
    Given "a" is served with a body of 1 KiB
    And "b" is served with a body of 1 KiB
    When 30 MiB of the answer of "a" are held
    And 30 MiB of the answer of "b" are held
    And 0.8 seconds pass
    And "b" takes 16 KiB
    And 0.8 seconds pass
    Then "a" is closed
    And "b" is not closed

  Scenario Outline: Bodies in chunks of <size> bytes need <turns> turns
    When a body of 1 MiB comes in chunks of <size> bytes
    Then it needed <turns> turns

    Examples:
      | size  | turns |
      | 65536 | 0     |
      | 4096  | 0     |
      | 1024  | 0     |
      | 64    | 510   |

  Scenario: A body that has had fewer turns goes before one that has had many
    When bodies that have had 9, 5, 1 and 0 turns wait for their next turn
    Then the first one goes on, then the others by the turns that they have had
    And each turn began 5 ms after the one before
