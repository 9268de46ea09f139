Feature: A key is granted and withdrawn
  The key is shown once; a withdrawal is in force when a quorum has applied it.

  Scenario: A key is granted
    Given a deployment with 3 entry VMs and the service "records"
    When "ana" grants a key to "unam"
    Then the answer shows the key
    And the store holds only the key's SHA-256

  Scenario: A quorum applies the withdrawal
    Given a deployment with 3 entry VMs and the service "records"
    When "ana" grants a key to "unam"
    And "ana" withdraws the key
    Then the withdrawal is "in_force"
    And the store holds the key as withdrawn

  Scenario: Some VMs lag
    Given a deployment with 3 entry VMs and the service "records"
    And "vm-2" lags and "vm-3" is joining
    When "ana" grants a key to "unam"
    And "ana" withdraws the key
    Then the withdrawal is "pending"
    And the VMs that lack it are "vm-2" and "vm-3"
    When all VMs have applied everything
    Then showing the withdrawal answers "in_force"

  Scenario: One VM is listed at two addresses
    Given a deployment with 1 entry VMs and the service "records"
    And "vm-1" is also listed as "vm-2" and "vm-3"
    When "ana" grants a key to "unam"
    And "ana" withdraws the key
    Then the withdrawal is "pending"
