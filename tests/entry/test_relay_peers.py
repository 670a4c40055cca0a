"""Which peer sends an attempt for a VM that has lost its link."""

from __future__ import annotations

from collections import Counter

import pytest

from lycheestall.entry.attempt_messages import (
    AskLinks,
    AttemptResult,
    LinkReport,
    SendAttempt,
)
from lycheestall.entry.attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRun,
    NotRunReason,
    NotSent,
    PermitExpired,
    Stopped,
    Unreachable,
    WholeAnswer,
)
from lycheestall.entry.http_client_connection import BreakReason
from lycheestall.entry.http_messages import ResponseHead
from lycheestall.entry.membership import Member, Members, join_record
from lycheestall.entry.peer_messages import (
    PeerMessage,
    PeerReply,
    decode,
    encode,
)
from lycheestall.entry.relay_peers import (
    OTHER_ZONE_COST,
    REPORT_VALID_S,
    SHUNNED_S,
    RelayPeers,
)
from lycheestall.entry.store import KeyedRecord
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, TargetId, ZoneId

VMS = 6
ZONES = 3
TARGET = TargetId("target")
HEAD = ResponseHead(200, ((b"X-Response-Seal", b"seal"),), True, False)


def holder_of(number: int) -> HolderId:
    """Returns the ID of a VM; those of zone 0 are 0 and 3."""
    return HolderId(f"vm-{number}.1")


@pytest.fixture
def members() -> Members:
    """Six VMs in three zones."""
    members = Members()
    for number in range(VMS):
        member = Member(
            holder_of(number),
            Address(f"10.0.0.{number + 1}", 4),
            ZoneId(f"zone-{number % ZONES}"),
        )
        write = join_record(member)
        record = KeyedRecord(Offset(number), write.key, write.value)
        members.apply(record)
    return members


@pytest.fixture
def peers(members: Members) -> RelayPeers:
    """The peers of VM 0."""
    return RelayPeers(
        holder=holder_of(0), zone=ZoneId("zone-0"), members=members
    )


def report(
    number: int,
    *,
    accepts: bool = True,
    lost: tuple[TargetId, ...] = (),
    relaying: int = 0,
) -> LinkReport:
    """Returns the report of a VM."""
    return LinkReport(holder_of(number), accepts, lost, relaying)


def choose(peers: RelayPeers, now: float = 0.0) -> HolderId | None:
    """Returns the chosen peer's ID."""
    member = peers.choose(TARGET, avoid=(), now=now)
    return None if member is None else member.holder


def test_a_peer_in_the_same_zone_is_preferred(peers: RelayPeers) -> None:
    for number in range(1, VMS):
        peers.add_report(report(number), 0.0)
    assert choose(peers) == holder_of(3)


def test_a_peer_elsewhere_is_preferred_where_one_is_wanted(
    peers: RelayPeers,
) -> None:
    for number in range(1, VMS):
        peers.add_report(report(number, relaying=number * 50), 0.0)
    member = peers.choose(TARGET, avoid=(), now=0.0, elsewhere=True)
    assert member is not None
    assert member.holder == holder_of(1)


def test_peers_that_do_not_reach_the_target_are_not_asked(
    peers: RelayPeers,
) -> None:
    for number in (1, 2, 4):
        peers.add_report(report(number, accepts=False), 0.0)
    peers.add_report(report(3, lost=(TARGET,)), 0.0)
    peers.add_report(report(5), 0.0)
    assert choose(peers) == holder_of(5)


def test_nobody_is_asked_where_no_peer_reaches_targets(
    peers: RelayPeers,
) -> None:
    for number in range(1, VMS):
        peers.add_report(report(number, accepts=False), 0.0)
    assert choose(peers) is None
    assert not peers.any_may_help(0.0)
    assert peers.any_may_help(REPORT_VALID_S + 0.1)


def test_a_peer_that_did_not_take_an_attempt_is_spared_for_a_while(
    peers: RelayPeers,
) -> None:
    peers.add_report(report(3), 0.0)
    peers.shun(holder_of(3), 0.0)
    assert choose(peers) != holder_of(3)
    peers.add_report(report(3), 0.5)
    assert choose(peers, now=0.5) == holder_of(3)
    peers.shun(holder_of(3), 1.0)
    assert choose(peers, now=1.0 + SHUNNED_S) == holder_of(3)


# Guards against one VM that carries the attempts of all others.
def test_attempts_are_spread_over_the_peers(peers: RelayPeers) -> None:
    for number in range(1, VMS):
        peers.add_report(report(number), 0.0)
    attempts_by_holder: Counter[HolderId] = Counter()
    for _ in range(50):
        holder = choose(peers)
        assert holder is not None
        peers.started(holder)
        attempts_by_holder[holder] += 1
    assert set(attempts_by_holder) == {holder_of(n) for n in range(1, VMS)}
    spread = max(attempts_by_holder.values()) - min(
        attempts_by_holder.values()
    )
    assert spread <= OTHER_ZONE_COST + 1


@pytest.mark.parametrize(
    "message",
    [
        AskLinks(holder_of(1)),
        report(1, lost=(TARGET,), relaying=3),
        SendAttempt(
            holder=holder_of(1),
            request_id=b"r1",
            target=TARGET,
            started_ms=7,
            method=b"POST",
            url=b"/orders/1?x=%20",
            headers=((b"X-Any", b"\xff"),),
            body=b"\x00\xff",
            fingerprint="f",
            is_stream=True,
            may_repeat=False,
            remaining_s=1.5,
            send_within_s=float("inf"),
        ),
    ],
)
def test_a_message_about_attempts_is_decoded_as_it_was(
    message: PeerMessage | PeerReply,
) -> None:
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    "outcome",
    [
        NotRun(NotRunReason.FULL, 503, HEAD, b"full"),
        WholeAnswer(HEAD, b"\x00whole"),
        Broken(BreakReason.RESET, response_started=True),
        NotSent("refused", timed_out=True),
        Unreachable("lost", target_lost=True),
        Stopped(sent=True),
        PermitExpired(),
    ],
)
def test_an_outcome_is_decoded_as_it_was(outcome: AttemptOutcome) -> None:
    message = AttemptResult(outcome)
    assert decode(encode(message)) == message


def test_an_unknown_outcome_is_rejected() -> None:
    data = encode(AttemptResult(PermitExpired()))
    with pytest.raises(ValueError, match="unknown outcome"):
        decode(data.replace(b"PermitExpired", b"PermitExpirex"))
