"""Which software version can have begun the streams of a service."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.target_table import TargetRegistration, TargetTable
from lycheestall.entry.versions.software_versions import (
    RecentVersions,
    SoftwareVersions,
)
from lycheestall.ids import SoftwareVersion, TargetId, ZoneId

SERVICE = ServiceId("engines")
LIFETIME_S = 6.0
TARGETS = ("a", "b", "c")
VERSIONS = ("v1", "v2")


class VersionsUnderChange(RuleBasedStateMachine):
    """Targets come and go while a VM reads their records, or lists them.

    The model keeps the last moment at which each version was registered,
    whether or not the VM has read it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.table = TargetTable()
        self.versions = SoftwareVersions(self.table)
        self.registered: dict[str, str] = {}
        self.unread: list[tuple[str, str | None]] = []
        self.registered_at: dict[str, float] = {}
        self.read_at = -1.0
        self.listed_at = float("inf")

    @rule(name=st.sampled_from(TARGETS), version=st.sampled_from(VERSIONS))
    def register(self, name: str, version: str) -> None:
        """A target registers."""
        self.note_registered()
        self.registered[name] = version
        self.unread.append((name, version))
        self.note_registered()

    @rule(name=st.sampled_from(TARGETS))
    def remove(self, name: str) -> None:
        """A target's registration is removed."""
        self.note_registered()
        self.registered.pop(name, None)
        self.unread.append((name, None))

    @rule()
    def read(self) -> None:
        """The VM reads all new records; the first time, it lists them."""
        if self.listed_at > self.now:
            self.list()
            return
        for name, version in self.unread:
            if version is None:
                self.table.remove(TargetId(name), self.now)
                continue
            self.table.register(registration(name, version))
        self.observe()

    @rule()
    def list(self) -> None:
        """The VM lists the targets, since records are gone."""
        for name, version in self.registered.items():
            self.table.register(registration(name, version))
        self.table.keep_only(set(map(TargetId, self.registered)), self.now)
        self.listed_at = self.now
        self.observe()

    @rule(seconds=st.sampled_from((0.5, 2.0, 3.9, 7.0)))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.now += seconds

    def observe(self) -> None:
        """Tells the object under test of a read."""
        self.unread.clear()
        self.read_at = self.now
        self.versions.observe(self.now, listed_at=self.listed_at)

    def note_registered(self) -> None:
        """Notes the registered versions."""
        for version in self.registered.values():
            self.registered_at[version] = self.now

    @invariant()
    def no_other_version_was_registered_beside_the_only_one(self) -> None:
        """Whatever was registered up to the last read is known."""
        recent = self.versions.recent(SERVICE, self.now, lifetime_s=LIFETIME_S)
        if self.unread or self.read_at < self.now:
            return
        if recent.only_possible is None:
            return
        self.note_registered()
        since = self.now - LIFETIME_S
        others = {
            version
            for version, at in self.registered_at.items()
            if at > since and version != recent.only_possible
        }
        assert not others
        assert self.listed_at <= since


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
        versions.observe(100.0 + step, listed_at=100.0)
        recent = versions.recent(SERVICE, 100.0 + step, lifetime_s=LIFETIME_S)
        assert recent.versions == {"v1"}
        assert recent.only_possible == ("v1" if step >= LIFETIME_S else None)


# Guards against dating a version that leaves while the targets can't be read
# by the last read before.
def test_a_version_that_left_in_an_outage_counts_from_the_next_read() -> None:
    table = TargetTable()
    versions = SoftwareVersions(table)
    table.register(registration("a", "v1"))
    versions.observe(100.0, listed_at=90.0)
    table.register(registration("a", "v2"))
    versions.observe(107.0, listed_at=90.0)
    recent = versions.recent(SERVICE, 107.0, lifetime_s=LIFETIME_S)
    assert recent.versions == {"v1", "v2"}


# Guards against missing a version that comes and leaves between two reads.
def test_a_version_that_came_and_left_between_two_reads_counts() -> None:
    table = TargetTable()
    versions = SoftwareVersions(table)
    table.register(registration("a", "v1"))
    versions.observe(100.0, listed_at=90.0)
    table.register(registration("b", "v2"))
    table.remove(TargetId("b"), 101.0)
    versions.observe(101.0, listed_at=90.0)
    recent = versions.recent(SERVICE, 101.0, lifetime_s=LIFETIME_S)
    assert recent.versions == {"v1", "v2"}


def test_a_vm_that_has_seen_a_second_version_outvotes_the_others() -> None:
    one = RecentVersions(frozenset({SoftwareVersion("v1")}), True)
    two = RecentVersions(
        frozenset({SoftwareVersion("v1"), SoftwareVersion("v2")}), False
    )
    assert one.merge([one]).only_possible == "v1"
    assert one.merge([two]).only_possible is None


# Guards against records that prove something of the time before a new listing,
# although they were read before it.
def test_records_have_to_be_read_again_after_a_new_listing() -> None:
    table = TargetTable()
    versions = SoftwareVersions(table)
    table.register(registration("a", "v1"))
    versions.observe(100.0, listed_at=100.0)
    versions.mark_complete(SERVICE)
    recent = versions.recent(SERVICE, 101.0, lifetime_s=LIFETIME_S)
    assert recent.only_possible == "v1"
    versions.observe(102.0, listed_at=102.0)
    recent = versions.recent(SERVICE, 102.0, lifetime_s=LIFETIME_S)
    assert recent.only_possible is None
