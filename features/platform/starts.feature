Feature: Daemons that start

  Background:
    Given a platform with 3 fabric domains of 8 replicas and 6 daemons
    And its groups are open

  # Guards against: a lease is taken beside its holder, since the time of a slow read
  # counts as time in which it was not renewed.
  Scenario: A daemon whose first read of the lease takes seconds does not take it early
    When a daemon starts whose calls the store does not answer for 2.3 seconds, and once it has read the lease, the leader's are not answered
    And 3 seconds pass
    Then never did two hold the lease
