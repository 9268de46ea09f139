Feature: Concurrent submissions of a document
  One submission is accepted; the other gets a conflict with the current version.

  Scenario: Two operators submit different changes to the same version
    Given a deployment with 3 entry VMs and the service "records"
    When "ana" and "luis" submit changes of "records" at the same time
    Then one submission is accepted
    And the other gets a 409 response with the current version
    And the audit trail names both operators, one accepted and one refused

  Scenario: The response to a write is lost
    Given a deployment with 3 entry VMs and the service "records"
    When the store loses the response to a change that "ana" submits
    Then the change is accepted exactly once
