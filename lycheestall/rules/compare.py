"""Computes the difference between two rule files."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from .printing import print_statement
from .syntax import Rule, RuleFile

__all__ = ["ChangedLine", "FileChange", "compare_files"]


@dataclass(frozen=True, slots=True)
class ChangedLine:
    """A rule that a proposal adds to or removes from those in force.

    Attributes:
        number: Its line number in the file that contains it.
        text: The rule without its comment.
        member: Who requested the rule, from its comment.
    """

    number: int
    text: str
    member: str


@dataclass(frozen=True, slots=True)
class FileChange:
    """The difference between two rule files.

    Attributes:
        added: Rules that only the new file contains.
        removed: Rules that only the old file contains.
        reordered: Whether both files contain the same rules in a
            different order.
    """

    added: tuple[ChangedLine, ...] = ()
    removed: tuple[ChangedLine, ...] = ()
    reordered: bool = False


def _same(one: Rule, other: Rule) -> bool:
    """Returns whether two rules have equal statements and members."""
    if one.member != other.member:
        return False
    return one.statement is other.statement or (
        one.statement == other.statement
    )


def _strip_common_ends(
    old: Sequence[Rule], new: Sequence[Rule]
) -> tuple[Sequence[Rule], Sequence[Rule]]:
    """Strips the common prefix and suffix of two files."""
    shorter = min(len(old), len(new))
    start = 0
    while start < shorter and _same(old[start], new[start]):
        start += 1
    end = 0
    while end < shorter - start and _same(old[-1 - end], new[-1 - end]):
        end += 1
    return old[start : len(old) - end], new[start : len(new) - end]


def _lines(rules: Sequence[Rule]) -> list[ChangedLine]:
    return [
        ChangedLine(rule.number, print_statement(rule.statement), rule.member)
        for rule in rules
    ]


def _lines_not_in(
    lines: list[ChangedLine], others: list[ChangedLine]
) -> tuple[ChangedLine, ...]:
    unmatched = Counter((line.text, line.member) for line in others)
    found: list[ChangedLine] = []
    for line in lines:
        key = (line.text, line.member)
        if unmatched[key] > 0:
            unmatched[key] -= 1
            continue
        found.append(line)
    return tuple(found)


def compare_files(old: RuleFile, new: RuleFile) -> FileChange:
    """Returns the rules that only one of two files contains.

    Args:
        old: The file before the change.
        new: The file after the change.
    """
    old_rules, new_rules = _strip_common_ends(old.rules, new.rules)
    before, after = _lines(old_rules), _lines(new_rules)
    added = _lines_not_in(after, before)
    removed = _lines_not_in(before, after)
    reordered = bool(after) and not added and not removed
    return FileChange(added, removed, reordered)
