Feature: Two operators submit the same document
  One of them is accepted; the other learns the version that is now in force.

  Scenario: Both read the same version and submit different changes
    Given a deployment with 3 entry VMs and the service "records"
    When "ana" and "luis" submit changes of "records" at the same time
    Then one submission is accepted
    And the other is answered 409 with the current version
    And the audit trail names both operators, one accepted and one refused

  Scenario: The answer to a write is lost
    Given a deployment with 3 entry VMs and the service "records"
    When the store loses the answer to a change that "ana" submits
    Then the change is accepted exactly once
