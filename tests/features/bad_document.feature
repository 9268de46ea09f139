Feature: A bad document is refused
  Every fault names its field, and the document in force stays.

  Scenario Outline: A document with a fault is submitted
    Given a deployment with 3 entry VMs and the service "records"
    When "ana" submits "records" with <change>
    Then the submission is answered 422
    And a fault names the field "<field>"
    And the document in force is unchanged

    Examples:
      | change               | field                        |
      | no slots             | targets[0].slots             |
      | an unknown field     | colour                       |
      | an unknown zone      | targets[0].availability_zone |
      | a drain of no target | drains[0].name               |
      | another name         | service                      |
