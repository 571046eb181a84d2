Feature: No VM belongs to two groups at once (G2)

  Scenario: The lease holder is paused until its lease has expired, and then resumes
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And 3 model groups of 2 VMs
    When the daemon that controls the groups is paused
    And VM z-a-f0-0 is killed
    And 20 s pass
    And the paused daemon resumes
    And 40 s pass
    Then no version of the assignments has a VM in two groups
    And every engine of the fleet holds exactly the group that is assigned to it
    And every daemon may route requests to the 3 configured groups

  Scenario: The lease holder is paused past its lease, and some engines ignore fencing numbers
    Given a fleet of 3 daemons and 3 VMs in each of 3 fabric domains
    And engines of fabric domain z-a-f0 that ignore fencing numbers
    And 3 model groups of 2 VMs
    When VM z-a-f0-0 is killed
    And 2.2 s pass
    And the daemon that controls the groups is paused
    And 20 s pass
    And the paused daemon resumes
    And 40 s pass
    Then no version of the assignments has a VM in two groups
    And every engine of the fleet holds exactly the group that is assigned to it
    And every daemon may route requests to the 3 configured groups
