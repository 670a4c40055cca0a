"""The dependencies that the modules of the program owner share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .account_portions import AccountPortions
from .answers import AnswerStore
from .application_picker import ApplicationPicker
from .cell_view import CellView
from .clock import Clock
from .dispatch import ChatDispatcher
from .ledger import Ledger
from .receipts import ReceiptSigner
from .rules.rule_set import RuleSet
from .settings import TuningSettings

__all__ = ["LOG_WAIT_S", "OwnerDependencies"]

LOG_WAIT_S = 2.0


@dataclass(frozen=True, slots=True)
class OwnerDependencies:
    """The dependencies of the program owner.

    Attributes:
        cell: The VM's view of its cell.
        ledger: Returns the folded state of programs.
        dispatcher: Dispatches chat calls to engines.
        applications: Picks a target for each action.
        rules: Returns the rules in force.
        clock: Monotonic time.
        wall_ms: Returns wall-clock time, milliseconds since 1970.
        keys: Keys that sign receipts and ids, newest first.
        signer: Signs and verifies receipts.
        settings: Timeouts and sizes.
        answers: The pending and stored answers.
        account_portions: This VM's portions of the accounts' limits.
    """

    cell: CellView
    ledger: Callable[[], Ledger]
    dispatcher: ChatDispatcher
    applications: ApplicationPicker
    rules: Callable[[], RuleSet]
    clock: Clock
    wall_ms: Callable[[], int]
    keys: tuple[bytes, ...]
    signer: ReceiptSigner
    settings: TuningSettings
    answers: AnswerStore
    account_portions: AccountPortions
