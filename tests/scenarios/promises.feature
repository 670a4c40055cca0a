Feature: What holds while things break
  Programs, rules and targets over a deployment in virtual time.
  Faults and moments are those of the fault matrix.

  Background:
    Given 4 entry VMs with rules in force
    And a program that plans, pauses, orders poles and closes

  Scenario: The owner dies while an order runs
    When "owner killed" strikes at "action running"
    Then all programs finish within 120 seconds
    And the order ran at most once
    And every promise holds

  Scenario: The application dies after the order took effect
    When "application crashes after" strikes at "action sent"
    Then all programs finish within 120 seconds
    And the order ran exactly once
    And every promise holds

  Scenario: A crew goes on while the log is away
    When "log down" strikes at "call streaming"
    Then the program's second answer comes within 5 seconds
    And all programs finish within 120 seconds
    And every promise holds

  Scenario: The log goes away and the owner dies with it
    When "log down" strikes at "between calls"
    And 2 seconds later "owner killed" strikes
    Then all programs finish within 120 seconds
    And every promise holds

  Scenario: An owner that was paused past its lease wakes up
    When "owner paused past lease" strikes at "intent recorded"
    Then all programs finish within 120 seconds
    And the order ran at most once
    And every promise holds

  Scenario: A planned stop under load
    When VM "vm-01" is stopped at "call streaming"
    Then VM "vm-01" is gone within 10 seconds
    And all programs finish within 60 seconds
    And every promise holds

  Scenario: Two operators publish on the same base
    When "operators race" strikes at "rules asked"
    Then one publication wins within 5 seconds
    And every VM has the same rules within 5 seconds
    And every promise holds

  Scenario: An engine is leaving
    When "engine leaves" strikes at "call sent"
    Then all programs finish within 60 seconds
    And every promise holds
