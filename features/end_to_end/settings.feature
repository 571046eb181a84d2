Feature: All settings are validated before anything starts

  Scenario: Every problem is reported at once, with its path and line
    When the daemon checks settings with several errors
    Then it exits with 2
    And it reports line 3 of daemon.availability_zon as unknown, with a hint
    And it reports daemon.availability_zone as missing
    And it reports line 4 of daemon.caller_address
    And it reports line 8 of store.timeout
    And it reports line 10 of peers.fleet_key

  Scenario: Packages that make decisions import no HTTP, gRPC or YAML library
    Then the packages that make decisions import neither tornado, grpclib nor yaml

  Scenario: Every program shows examples and exit codes in its help
    Then --help of daemon, ctl, report and check shows examples and exit codes
