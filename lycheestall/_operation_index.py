"""Finds the most specific rule about an application's operation."""

from __future__ import annotations

from .rules.rule_set import ActionRule

__all__ = ["OperationIndex"]

_ANY_METHOD = "*"


class OperationIndex:
    """Operation rules by application, path and method.

    The most specific rule wins. A rule that names the application comes
    before one about every application, then a complete path before a
    prefix, a longer prefix before a shorter one, and a named method
    before ``*``.
    """

    def __init__(self) -> None:
        self._rule_by_key: dict[tuple[str, str, str], ActionRule] = {}
        self._prefixes_by_application: dict[str, set[str]] = {}

    def add(
        self, application: str, method: str, path: str, rule: ActionRule
    ) -> None:
        """Adds a rule, which replaces one for the same operations.

        Args:
            application: The application group; empty for all of them.
            method: A method or ``*``.
            path: A path; a final ``*`` matches any suffix.
            rule: How the operation is treated.
        """
        self._rule_by_key[application, path, method] = rule
        if path.endswith("*"):
            prefixes = self._prefixes_by_application.setdefault(
                application, set()
            )
            prefixes.add(path[:-1])

    def find(
        self, application: str, method: str, path: str
    ) -> ActionRule | None:
        """Returns the most specific matching rule, or None.

        Args:
            application: The application group.
            method: The call's method.
            path: Its path, without the query.
        """
        for group in (application, ""):
            for pattern in self._matching_patterns(group, path):
                for verb in (method, _ANY_METHOD):
                    rule = self._rule_by_key.get((group, pattern, verb))
                    if rule is not None:
                        return rule
        return None

    def _matching_patterns(self, application: str, path: str) -> list[str]:
        prefixes = self._prefixes_by_application.get(application, set())
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        matching.sort(key=len, reverse=True)
        return [path, *(f"{prefix}*" for prefix in matching)]
