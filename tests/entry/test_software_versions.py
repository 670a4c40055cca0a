"""Which software version can have begun the streams of a service."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.software_versions import (
    MAX_READ_GAP_S,
    RecentVersions,
    SoftwareVersions,
)
from lycheestall.entry.target_table import TargetRegistration, TargetTable
from lycheestall.ids import SoftwareVersion, TargetId, ZoneId

SERVICE = ServiceId("engines")
LIFETIME_S = 6.0
TARGETS = ("a", "b", "c")
VERSIONS = ("v1", "v2")


class VersionsUnderChange(RuleBasedStateMachine):
    """Targets come and go while the VM reads them, or fails to.

    The model keeps every moment at which a version was in the VM's table.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.table = TargetTable()
        self.versions = SoftwareVersions(self.table)
        self.present_at: dict[str, float] = {}
        self.reads: list[float] = []

    @rule(name=st.sampled_from(TARGETS), version=st.sampled_from(VERSIONS))
    def register(self, name: str, version: str) -> None:
        """A read brings a target."""
        self.note_present()
        self.table.register(registration(name, version))
        self.read()

    @rule(name=st.sampled_from(TARGETS))
    def remove(self, name: str) -> None:
        """A read no longer brings a target."""
        self.read()
        self.table.remove(TargetId(name), self.now)
        self.read()

    @rule()
    def read(self) -> None:
        """A read brings nothing new."""
        self.reads.append(self.now)
        self.versions.observe(self.now)
        self.note_present()

    @rule(seconds=st.sampled_from((0.5, 2.0, 3.9, 4.1, 7.0)))
    def wait(self, seconds: float) -> None:
        """Time passes without a read."""
        self.now += seconds

    def note_present(self) -> None:
        """Notes the versions in the table."""
        for version in self.table.versions(SERVICE):
            self.present_at[version] = self.now

    @invariant()
    def nothing_is_called_the_only_version_too_early(self) -> None:
        """The only version has had no other beside it, and no gap."""
        recent = self.versions.recent(SERVICE, self.now, lifetime_s=LIFETIME_S)
        if recent.only_possible is None:
            return
        since = self.now - LIFETIME_S
        others = {
            version
            for version, at in self.present_at.items()
            if at > since and version != recent.only_possible
        }
        assert not others
        before = [at for at in self.reads if at <= since]
        after = [at for at in self.reads if at > since]
        assert before
        times = [before[-1], *after, self.now]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert max(gaps) <= MAX_READ_GAP_S


TestVersionsUnderChange = VersionsUnderChange.TestCase


def registration(target: str, version: str) -> TargetRegistration:
    """Returns the registration of a target."""
    return TargetRegistration(
        target=TargetId(target),
        started_ms=1,
        service=SERVICE,
        host="10.0.0.1",
        port=80,
        zone=ZoneId("z"),
        software_version=SoftwareVersion(version),
        slots=8,
        draining=False,
    )


def test_the_only_version_is_told_after_the_lifetime_of_a_stream() -> None:
    table = TargetTable()
    versions = SoftwareVersions(table)
    table.register(registration("a", "v1"))
    for step in range(8):
        versions.observe(100.0 + step)
        recent = versions.recent(SERVICE, 100.0 + step, lifetime_s=LIFETIME_S)
        assert recent.only_seen == "v1"
        assert recent.only_possible == ("v1" if step >= LIFETIME_S else None)


def test_a_vm_that_has_seen_a_second_version_outvotes_the_others() -> None:
    one = RecentVersions(frozenset({SoftwareVersion("v1")}), True)
    two = RecentVersions(
        frozenset({SoftwareVersion("v1"), SoftwareVersion("v2")}), False
    )
    assert one.merge([one]).only_possible == "v1"
    assert one.merge([two]).only_possible is None
