Feature: Granting and withdrawing API keys
  A key is returned only once. A withdrawal is in force once a quorum of VMs has applied it.

  Scenario: A key is granted
    Given a deployment with 3 entry VMs and the service "records"
    When "ana" grants a key to "unam"
    Then the response contains the key
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
    And the VMs that have not applied it are "vm-2" and "vm-3"
    When all VMs have caught up
    Then the withdrawal is reported as "in_force"

  Scenario: One VM is listed under three names
    Given a deployment with 1 entry VMs and the service "records"
    And "vm-1" is also listed as "vm-2" and "vm-3"
    When "ana" grants a key to "unam"
    And "ana" withdraws the key
    Then the withdrawal is "pending"
