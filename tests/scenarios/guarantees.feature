Feature: Guarantees under faults
  Programs, rules and targets of a deployment in virtual time.
  Faults and steps are those of the fault matrix.

  Background:
    Given 4 entry VMs with rules in force
    And a program that plans, pauses, orders poles and closes

  Scenario: The owner is killed while an order runs
    When "owner killed" occurs at "action running"
    Then all programs finish within 120 seconds
    And the order ran at most once
    And every guarantee holds

  Scenario: The application crashes after the order took effect
    When "application crashes after" occurs at "action sent"
    Then all programs finish within 120 seconds
    And the order ran exactly once
    And every guarantee holds

  Scenario: Programs continue while the log is unavailable
    When "log down" occurs at "call streaming"
    Then the program's second call completes within 5 seconds
    And all programs finish within 120 seconds
    And every guarantee holds

  Scenario: The log becomes unavailable and the owner is killed
    When "log down" occurs at "between calls"
    And 2 seconds later "owner killed" occurs
    Then all programs finish within 120 seconds
    And every guarantee holds

  Scenario: An owner resumes after a pause longer than its lease
    When "owner paused past lease" occurs at "intent recorded"
    Then all programs finish within 120 seconds
    And the order ran at most once
    And every guarantee holds

  Scenario: A VM is drained under load
    When VM "vm-01" is drained at "call streaming"
    Then VM "vm-01" is gone within 10 seconds
    And all programs finish within 60 seconds
    And every guarantee holds

  Scenario: Several operators publish on the same base
    When "operators race" occurs at "rules asked"
    Then one publication is accepted within 5 seconds
    And every VM has the same rules within 5 seconds
    And every guarantee holds

  Scenario: An engine is leaving
    When "engine leaves" occurs at "call sent"
    Then all programs finish within 60 seconds
    And every guarantee holds
