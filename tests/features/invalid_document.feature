Feature: Rejection of invalid documents
  Every error names its field, and the stored document does not change.

  Scenario Outline: An invalid document is submitted
    Given a deployment with 3 entry VMs and the service "records"
    When "ana" submits "records" with <change>
    Then the response status is 422
    And an error names the field "<field>"
    And the stored document is unchanged

    Examples:
      | change               | field                        |
      | no slots             | targets[0].slots             |
      | an unknown field     | colour                       |
      | an unknown zone      | targets[0].availability_zone |
      | a drain of no target | drains[0].name               |
      | another name         | service                      |
