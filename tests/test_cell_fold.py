"""Tests of the cell's fold."""

from __future__ import annotations

from typing import Any

import pytest
from fake_cell_parts import RecordingLedger, RecordingPortions
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lycheestall.cell_fold import CellFold
from lycheestall.claims import Claims
from lycheestall.crashes import Crashes
from lycheestall.fold import Verdict
from lycheestall.ids import (
    AccountId,
    Offset,
    PartitionId,
    SessionId,
    TargetId,
    VmId,
    ZoneId,
)
from lycheestall.records import (
    NO_OFFSET,
    CrashReported,
    PartitionClaimed,
    PartitionReleased,
    PortionTaken,
    Record,
    RecordBody,
    SessionDeposed,
    SessionJoined,
    SessionLeft,
    SessionRenewed,
)
from lycheestall.sessions import MAX_JOIN_AGE_RECORDS, SessionEnd

NAMES = ("a", "b", "c", "d")
PARTITIONS = 3

names = st.sampled_from(NAMES)
partitions = st.integers(0, PARTITIONS - 1)


def new_fold() -> CellFold:
    return CellFold(RecordingLedger(), RecordingPortions())


def joined(name: str, after: int = -1) -> SessionJoined:
    return SessionJoined(
        VmId(name), ZoneId("z"), "127.0.0.1", 1, "0", Offset(after)
    )


class Writer:
    """Applies records of several sessions at increasing offsets."""

    def __init__(self, fold: CellFold) -> None:
        self.fold = fold
        self.offset = -1
        self.sequence_by_name: dict[str, int] = {}

    def write(self, name: str, body: RecordBody) -> Verdict:
        """Appends a record under the next sequence."""
        sequence = self.sequence_by_name.get(name, 0) + 1
        self.sequence_by_name[name] = sequence
        return self.append(Record(SessionId(name), sequence, body))

    def append(self, record: Record) -> Verdict:
        """Appends a record unchanged."""
        self.offset += 1
        return self.fold.apply(Offset(self.offset), record)


class FoldMachine(RuleBasedStateMachine):
    """Random records of several writers, with repeats and checkpoints."""

    def __init__(self) -> None:
        super().__init__()
        self.writer = Writer(new_fold())
        self.fold = self.writer.fold
        self.records: list[Record] = []
        self.replicas: list[CellFold] = []
        self.restarts_by_name = dict.fromkeys(NAMES, 0)
        self.owners: dict[int, str] = {}

    def session(self, name: str) -> str:
        """Returns the newest session of a name."""
        return f"{name}{self.restarts_by_name[name]}"

    def write(self, name: str, body: RecordBody) -> Verdict:
        """Appends a record to all folds."""
        session = self.session(name)
        sequence = self.writer.sequence_by_name.get(session, 0) + 1
        self.writer.sequence_by_name[session] = sequence
        record = Record(SessionId(session), sequence, body)
        self.records.append(record)
        return self.append(record)

    def append(self, record: Record) -> Verdict:
        """Applies a record to all folds."""
        verdict = self.writer.append(record)
        for replica in self.replicas:
            replica_verdict = replica.apply(Offset(self.writer.offset), record)
            assert replica_verdict == verdict
        return verdict

    @rule(name=names)
    def join(self, name: str) -> None:
        """Joins, or tries to join a second time."""
        self.write(name, joined(name, self.writer.offset))

    @rule(name=names)
    def restart(self, name: str) -> None:
        """Joins under a new session; the old one doesn't leave."""
        self.restarts_by_name[name] += 1
        assert self.write(name, joined(name, self.writer.offset)).accepted

    @rule(name=names, lag=st.integers(0, 5))
    def renew(self, name: str, lag: int) -> None:
        """Renews with the offset of a lagging reader."""
        folded = Offset(max(-1, self.writer.offset - lag))
        self.write(name, SessionRenewed(folded))

    @rule(name=names)
    def leave(self, name: str) -> None:
        """Leaves the cell."""
        self.write(name, SessionLeft())

    @rule(name=names, other=names, stale=st.booleans())
    def depose(self, name: str, other: str, stale: bool) -> None:
        """Deposes a session by its newest or an older offset."""
        target = SessionId(self.session(other))
        known = self.fold.sessions.by_id.get(target)
        seen = NO_OFFSET if known is None else known.last_seen
        newest = Offset(seen - 1 if stale else seen)
        verdict = self.write(name, SessionDeposed(target, newest))
        assert not (stale and verdict.accepted)

    @rule(name=names, partition=partitions, stale=st.booleans())
    def claim(self, name: str, partition: int, stale: bool) -> None:
        """Claims; an accepted claim requires a claimable partition."""
        key = PartitionId(partition)
        previous_claim = self.fold.claims.by_key.get(key)
        previous = self.fold.claims.epoch(key)
        if stale:
            previous = Offset(previous - 1)
        verdict = self.write(name, PartitionClaimed(key, previous))
        if not verdict.accepted:
            return
        assert not stale
        if previous_claim is None:
            return
        holder = previous_claim.successor or previous_claim.owner
        released_to_claimer = (
            holder == self.session(name) and previous_claim.successor
        )
        assert released_to_claimer or not self.fold.sessions.is_live(holder)
        assert self.fold.claims.epoch(key) == self.writer.offset

    @rule(name=names, partition=partitions, other=names)
    def release(self, name: str, partition: int, other: str) -> None:
        """Releases a partition, owned or not."""
        key = PartitionId(partition)
        epoch = self.fold.claims.epoch(key)
        successor = SessionId(self.session(other))
        self.write(name, PartitionReleased(key, epoch, successor))

    @rule(name=names)
    def other_parts(self, name: str) -> None:
        """Writes a record for another part of the fold."""
        body = PortionTaken(AccountId("x"), "l", 1, 1, 9)
        verdict = self.write(name, body)
        live = self.fold.sessions.is_live(SessionId(self.session(name)))
        assert verdict.accepted == live

    @rule(data=st.data())
    def repeat(self, data: Any) -> None:
        """Appends an earlier record again, as a late retry does."""
        if not self.records:
            return
        record = data.draw(st.sampled_from(self.records))
        before = self.fold.dump()
        verdict = self.append(record)
        assert not verdict.accepted
        fold = new_fold()
        fold.load(before)
        fold._as_of = Offset(self.writer.offset)
        assert fold.dump() == self.fold.dump()

    @rule()
    def checkpoint(self) -> None:
        """Starts a replica from a checkpoint of the current state."""
        if len(self.replicas) == 3:
            return
        replica = new_fold()
        replica.load(self.fold.dump())
        self.replicas.append(replica)

    @invariant()
    def checkpoint_and_later_records_equal_the_full_fold(self) -> None:
        """Each replica has the same state as the fold."""
        for replica in self.replicas:
            assert replica.dump() == self.fold.dump()

    @invariant()
    def configurations_end_with_the_live_sessions(self) -> None:
        """The newest configuration equals the live sessions."""
        newest = self.fold.sessions.configurations[-1]
        assert newest.members == frozenset(self.fold.sessions.by_id)


def test_fold_machine() -> None:
    run_state_machine_as_test(FoldMachine)


def test_fold_machine_finds_a_fold_that_accepts_repeats(
    monkeypatch: Any,
) -> None:
    class RepeatAcceptingFold(CellFold):
        def apply(self, offset: Offset, record: Record) -> Verdict:
            if record.writer in self._sequence_by_writer:
                self._sequence_by_writer[record.writer] = 0
            return super().apply(offset, record)

    monkeypatch.setitem(globals(), "CellFold", RepeatAcceptingFold)
    quick = settings(phases=[Phase.generate], max_examples=20)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FoldMachine, settings=quick)


def test_ended_session_is_not_revived_by_a_late_repeat() -> None:
    writer = Writer(new_fold())
    writer.write("a", joined("a"))
    writer.write("b", joined("b", 0))
    writer.write("a", SessionLeft())
    repeated = Record(SessionId("a"), 1, joined("a"))
    assert not writer.append(repeated).accepted
    writer.offset += MAX_JOIN_AGE_RECORDS
    writer.write("b", SessionRenewed(Offset(writer.offset)))
    writer.write("c", joined("c", writer.offset))
    assert writer.fold.sessions.ended(SessionId("a")) is None
    assert not writer.append(repeated).accepted


def test_configuration_is_open_until_a_majority_acknowledges() -> None:
    writer = Writer(new_fold())
    for name in ("a", "b", "c"):
        writer.write(name, joined(name, writer.offset))
        for renewing in NAMES:
            writer.write(renewing, SessionRenewed(Offset(writer.offset)))
    assert len(writer.fold.sessions.configurations) == 1
    writer.write("d", joined("d", writer.offset))
    start = Offset(writer.offset)
    writer.write("a", SessionRenewed(Offset(start - 1)))
    writer.write("b", SessionRenewed(start))
    assert len(writer.fold.sessions.configurations) == 2
    writer.write("c", SessionRenewed(start))
    assert len(writer.fold.sessions.configurations) == 1


def test_newer_session_at_an_address_ends_the_older_one() -> None:
    writer = Writer(new_fold())
    writer.write("a1", joined("a"))
    writer.write("a2", joined("a", after=0))
    ended = writer.fold.sessions.ended(SessionId("a1"))
    assert ended is not None
    assert ended.cause is SessionEnd.SUPERSEDED
    assert len(writer.fold.sessions.configurations) == 1
    late = Record(SessionId("a0"), 1, joined("a", after=0))
    assert writer.append(late).accepted
    assert writer.fold.sessions.is_live(SessionId("a2"))


def test_deposed_member_does_not_close_a_configuration() -> None:
    writer = Writer(new_fold())
    writer.write("a", joined("a"))
    writer.write("b", joined("b", 0))
    seen = writer.fold.sessions.by_id[SessionId("a")].last_seen
    assert writer.write("b", SessionDeposed(SessionId("a"), seen)).accepted
    open_members = [c.members for c in writer.fold.sessions.configurations]
    assert frozenset({SessionId("a")}) in open_members
    ended = writer.fold.sessions.ended(SessionId("a"))
    assert ended is not None
    assert ended.cause is SessionEnd.DEPOSED


def test_only_an_explicit_release_avoids_the_takeover_wait() -> None:
    claims: Claims[PartitionId] = Claims()
    key, a, b, c = PartitionId(1), *map(SessionId, "abc")
    live = {a, b, c}

    def is_live(session: SessionId) -> bool:
        return session in live

    assert claims.claim(Offset(1), a, key, NO_OFFSET, is_live).accepted
    assert not claims.by_key[key].takeover
    assert not claims.claim(Offset(2), b, key, Offset(1), is_live).accepted
    assert claims.release(a, key, Offset(1), b).accepted
    assert not claims.holds(key, a, Offset(1))
    assert not claims.claim(Offset(3), c, key, Offset(1), is_live).accepted
    assert claims.claim(Offset(4), b, key, Offset(1), is_live).accepted
    assert not claims.by_key[key].takeover
    live.remove(b)
    assert claims.claim(Offset(5), c, key, Offset(4), is_live).accepted
    assert claims.by_key[key].takeover


def test_request_is_quarantined_from_its_second_crash_on() -> None:
    crashes = Crashes()
    crashes.report(CrashReported(b"x", TargetId("t1")))
    assert not crashes.quarantined(b"x")
    crashes.report(CrashReported(b"x", TargetId("t2")))
    assert crashes.quarantined(b"x")
    assert not crashes.quarantined(b"y")
    restored = Crashes()
    restored.load(crashes.dump())
    assert restored.targets(b"x") == {"t1", "t2"}
