"""Finds the most specific rule about an application's operation."""

from __future__ import annotations

from .rules.rule_set import ActionRule

__all__ = ["OperationIndex"]

_ANY_METHOD = "*"


class OperationIndex:
    """Operation rules by application, path and method.

    A rule that names the application comes before one about every
    application; a whole path before a prefix and a longer prefix before
    a shorter one; a named method before ``*``.
    """

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, str, str], ActionRule] = {}
        self._prefixes: dict[str, set[str]] = {}

    def add(
        self, application: str, method: str, path: str, rule: ActionRule
    ) -> None:
        """Takes a rule; the last of equals counts.

        Args:
            application: The application group, empty for every one.
            method: A method or ``*``.
            path: A path; a final ``*`` matches any rest.
            rule: How the operation is treated.
        """
        self._by_key[application, path, method] = rule
        if path.endswith("*"):
            prefixes = self._prefixes.setdefault(application, set())
            prefixes.add(path[:-1])

    def find(
        self, application: str, method: str, path: str
    ) -> ActionRule | None:
        """Returns the deciding rule, None when no rule matches.

        Args:
            application: The application group.
            method: The call's method.
            path: Its path, without query.
        """
        for group in (application, ""):
            for pattern in self._patterns(group, path):
                for name in (method, _ANY_METHOD):
                    rule = self._by_key.get((group, pattern, name))
                    if rule is not None:
                        return rule
        return None

    def _patterns(self, application: str, path: str) -> list[str]:
        prefixes = self._prefixes.get(application, set())
        fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
        fitting.sort(key=len, reverse=True)
        return [path, *(f"{prefix}*" for prefix in fitting)]
