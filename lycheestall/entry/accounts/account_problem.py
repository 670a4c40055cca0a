"""What is wrong with the accounts of a configuration."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["AccountProblem"]


@dataclass(frozen=True, slots=True)
class AccountProblem:
    """One fault, and how the configuration is read all the same.

    Attributes:
        position: Index of the entry among the accounts, from 0; None if the
            accounts as a whole are meant.
        account: Name in the entry, as far as it is usable.
        text: What is wrong and what follows from it. Holds no key.
    """

    position: int | None
    account: str
    text: str

    def __str__(self) -> str:
        if self.position is None:
            return f"accounts: {self.text}"
        return f"account {self.position} ({self.account!r}): {self.text}"
