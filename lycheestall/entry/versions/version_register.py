"""Keeps in the store which software versions services have run lately."""

from __future__ import annotations

from collections.abc import Iterable

from twisted.internet.defer import ensureDeferred

from ...clock import Clock
from ...ids import SoftwareVersion
from ...logs import Logger
from ...rendezvous import rendezvous
from ..configuration import ServiceId
from ..membership import Members
from ..record_decoder import UnreadableRecord
from ..store import Appended, KeyedRecord, NewestPage, Store, Topic
from ..token_ledger import HolderId
from .software_versions import RECORDED_S, SoftwareVersions
from .version_records import (
    RecordedVersion,
    decode_version,
    delete_version,
    encode_version,
)

__all__ = ["VersionRegister"]

ESTABLISHED_S = 15.0
"""Seconds for which a VM has followed the targets before it writes the first
record of a service: then it knows all versions that can have begun streams."""

OTHERS_DELAY_S = 0.5
"""Seconds after which a version is recorded by a VM that is not the one
chosen for it, which may be gone."""

RETRY_S = 0.5
"""Seconds after a failed call until the next one."""


class VersionRegister:
    """Records each software version as it appears, until it has left for long.

    A VM that starts sees only the versions that are registered then. The
    records tell it of those that have left while it was down, even if no VM
    is left that has seen them. They change only when versions come or go. That
    a service has records means that all its versions have: the first ones are
    written by a VM that has followed the targets for long, and a version that
    comes later begins no resumable stream before it is recorded. Otherwise
    the loss of all VMs just after its first stream would leave records that
    deny it.

    Args:
        holder: This VM.
        versions: What this VM has seen itself.
        members: The VMs of the system; one of them records a version first.
        store: The store.
        current_s: Age of the listing of the targets up to which it counts as
            current.
        clock: Tells the time.
        logger: Receives changes and unreadable records.

    Attributes:
        tried: Whether the records have been asked for since the start.
        revision: Changes whenever other versions may be used.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        versions: SoftwareVersions,
        members: Members,
        store: Store,
        current_s: float,
        clock: Clock,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._versions = versions
        self._members = members
        self._store = store
        self._current_s = current_s
        self._clock = clock
        self._logger = logger
        self._recorded: set[RecordedVersion] = set()
        self._confirmed: set[RecordedVersion] = set()
        self._unestablished: set[RecordedVersion] = set()
        self._noticed_at: dict[RecordedVersion, float] = {}
        self._loaded_for: float | None = None
        self._all_readable = True
        self._retry_at = 0.0
        self._stepping = False
        self.tried = False
        self.revision = 0

    async def step(self) -> None:
        """Loads the records if necessary and brings them up to date.

        Nothing happens before this VM has read the targets, and nothing is
        written before it knows the members.
        """
        now = self._clock.seconds()
        if (
            self._stepping
            or self._versions.read_age_s(now) > self._current_s
            or now < self._retry_at
        ):
            return
        self._stepping = True
        try:
            await self._bring_up_to_date()
        finally:
            self._stepping = False
            self.tried = True

    def is_usable(self, service: ServiceId, version: SoftwareVersion) -> bool:
        """Returns whether targets of a version may begin resumable streams.

        They may if the store names the version, or if it named no version of
        the service after this one came: then no VM that starts takes the
        records for complete.

        Args:
            service: The service.
            version: A version of it.
        """
        one = RecordedVersion(service, version)
        return one in self._confirmed or one in self._unestablished

    def unusable_since(
        self, service: ServiceId, version: SoftwareVersion
    ) -> float:
        """Returns since when a version has been waiting for its record.

        Args:
            service: The service.
            version: A version of it that may not be used yet.
        """
        return self._notice(RecordedVersion(service, version))

    def notice_versions(self) -> None:
        """Brings the records up to date at once if a version may not be used.

        This is to be called after each read of the targets.
        """
        if self._stepping or not self._unusable():
            return
        step = ensureDeferred(self.step())
        step.addErrback(
            lambda failure: self._logger.error(
                "recording software versions failed",
                error=failure.getTraceback(),
            )
        )

    async def _bring_up_to_date(self) -> None:
        loaded = self._loaded_for == self._versions.listed_at
        if not loaded and not await self._load():
            return
        self._forget_absent()
        if not self._members.all():
            return
        await self._record_new()
        await self._delete_old()

    def _forget_absent(self) -> None:
        """Forgets that versions are recorded which have been away for long.

        Their records may be deleted; if they come back, the records are read
        again.
        """
        now = self._clock.seconds()
        present = {
            RecordedVersion(service, version)
            for service, version in self._versions.seen_within(
                RECORDED_S / 2, now
            )
        }
        if not self._confirmed <= present:
            self._confirmed &= present
            self.revision += 1

    async def _load(self) -> bool:
        listed_at = self._versions.listed_at
        now = self._clock.seconds()
        seen = self._versions.seen_within(RECORDED_S / 2, now)
        records = await self._list()
        if records is None:
            return False
        decoded = [decode_version(record) for record in records]
        unreadable = [d for d in decoded if isinstance(d, UnreadableRecord)]
        known = {d for d in decoded if isinstance(d, RecordedVersion)}
        now = self._clock.seconds()
        for recorded in known:
            self._versions.note(recorded.service, recorded.version, now)
        self._recorded = known
        self._loaded_for = listed_at
        self._all_readable = not unreadable
        self._note_usable(seen)
        if unreadable:
            self._logger.warning(
                "software versions unreadable", reason=unreadable[0].reason
            )
        self._mark_complete(_services(known))
        return True

    def _mark_complete(self, services: Iterable[ServiceId]) -> None:
        # A record that can't be read may name a version of any service.
        if not self._all_readable:
            return
        for service in services:
            self._versions.mark_complete(service)

    async def _list(self) -> list[KeyedRecord] | None:
        records: list[KeyedRecord] = []
        after: str | None = None
        while True:
            page = await self._store.newest(Topic.VERSIONS, after=after)
            if not isinstance(page, NewestPage):
                self._retry_at = self._clock.seconds() + RETRY_S
                return None
            records.extend(page.records)
            after = page.more_after
            if after is None:
                return records

    def _note_usable(
        self, seen: Iterable[tuple[ServiceId, SoftwareVersion]]
    ) -> None:
        """Notes which versions may be used by the records just read.

        These are the versions that they name, and those of services that had
        no records although the version was there.

        Args:
            seen: The versions that were known before the records were read.
        """
        established = _services(self._recorded)
        for recorded in self._recorded:
            self._noticed_at.pop(recorded, None)
        self._confirmed = set(self._recorded)
        self._unestablished = {
            RecordedVersion(service, version)
            for service, version in seen
            if service not in established
        }
        self.revision += 1

    async def _record_new(self) -> None:
        unusable = self._unusable()
        for one in unusable:
            self._notice(one)
        if unusable and not await self._load():
            return
        missing = self._missing()
        due = [recorded for recorded in missing if self._is_chosen(recorded)]
        if not due and self._is_overdue(missing):
            if not await self._load():
                return
            due = self._missing()
        if due:
            await self._append(due)

    def _unusable(self) -> list[RecordedVersion]:
        """Returns the versions of registered targets that may not be used."""
        return [
            RecordedVersion(service, version)
            for service, version in self._versions.registered()
            if not self.is_usable(service, version)
        ]

    def _notice(self, one: RecordedVersion) -> float:
        """Returns when a version without a record was noticed."""
        now = self._clock.seconds()
        noticed_at = self._noticed_at.setdefault(one, now)
        if noticed_at == now:
            self._logger.info(
                "software version awaits its record",
                service=one.service,
                software_version=one.version,
            )
        return noticed_at

    def _missing(self) -> list[RecordedVersion]:
        now = self._clock.seconds()
        missing: list[RecordedVersion] = []
        for service, version in self._versions.seen_within(
            RECORDED_S / 2, now
        ):
            recorded = RecordedVersion(service, version)
            if recorded in self._recorded or not self._may_record(service):
                continue
            self._notice(recorded)
            missing.append(recorded)
        return missing

    def _is_overdue(self, missing: Iterable[RecordedVersion]) -> bool:
        now = self._clock.seconds()
        return any(
            now - self._noticed_at[recorded] >= OTHERS_DELAY_S
            for recorded in missing
        )

    def _may_record(self, service: ServiceId) -> bool:
        if any(recorded.service == service for recorded in self._recorded):
            return True
        return self._versions.has_followed(
            ESTABLISHED_S, self._clock.seconds()
        )

    async def _append(self, new: list[RecordedVersion]) -> None:
        outcome = await self._store.append(
            Topic.VERSIONS, [encode_version(one) for one in new], None
        )
        if not isinstance(outcome, Appended):
            self._retry_at = self._clock.seconds() + RETRY_S
            return
        now = self._clock.seconds()
        self.revision += 1
        for recorded in new:
            noticed_at = self._noticed_at.pop(recorded, now)
            self._recorded.add(recorded)
            self._confirmed.add(recorded)
            self._versions.note(recorded.service, recorded.version, now)
            self._logger.info(
                "software version recorded",
                service=recorded.service,
                software_version=recorded.version,
                waited_ms=round(1000 * (now - noticed_at), 1),
            )
        self._mark_complete(_services(new))

    async def _delete_old(self) -> None:
        now = self._clock.seconds()
        kept = {
            RecordedVersion(service, version)
            for service, version in self._versions.seen_within(RECORDED_S, now)
        }
        old = self._recorded - kept
        if not old:
            return
        self._recorded &= kept
        writes = [delete_version(one) for one in old if self._is_chosen(one)]
        if writes:
            # If this fails, the next VM that loads the records deletes them.
            await self._store.append(Topic.VERSIONS, writes, None)

    def _is_chosen(self, recorded: RecordedVersion) -> bool:
        key = f"{recorded.service}\x1f{recorded.version}"
        holders = [member.holder for member in self._members.all()]
        return rendezvous(key, holders) == self._holder


def _services(recorded: Iterable[RecordedVersion]) -> set[ServiceId]:
    return {one.service for one in recorded}
