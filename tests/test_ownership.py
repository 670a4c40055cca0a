"""Tests of how partitions are distributed over members."""

from __future__ import annotations

from collections import Counter

from lycheestall.ids import Offset, PartitionId, SessionId, VmId, ZoneId
from lycheestall.ownership import rank_candidates
from lycheestall.sessions import Session

PARTITIONS = [PartitionId(number) for number in range(256)]


def members(*zones: str) -> list[Session]:
    return [
        Session(
            session=SessionId(f"s{number}"),
            vm=VmId(f"vm{number}"),
            zone=ZoneId(zone),
            host="127.0.0.1",
            port=1,
            release="0",
            joined=Offset(number),
            last_seen=Offset(number),
            acknowledged=Offset(number),
        )
        for number, zone in enumerate(zones)
    ]


def preferred_owners(
    candidates: list[Session],
) -> dict[PartitionId, SessionId]:
    return {p: rank_candidates(p, candidates)[0] for p in PARTITIONS}


def test_a_joining_member_moves_mainly_its_own_share() -> None:
    full = members("a", "b", "c", "a", "b", "c")
    fewer = [member for member in full if member.session != "s5"]
    before, after = preferred_owners(fewer), preferred_owners(full)
    moved = [p for p in PARTITIONS if before[p] != after[p]]
    to_others = [p for p in moved if after[p] != "s5"]
    assert 20 < len(moved) < 100
    assert len(to_others) < 40


def test_zones_of_unequal_size_get_similar_shares() -> None:
    candidates = members("a", "a", "a", "a", "b", "b", "c", "c")
    zone_by_session = {c.session: c.zone for c in candidates}
    shares = Counter(
        zone_by_session[s] for s in preferred_owners(candidates).values()
    )
    assert min(shares.values()) > 60
    assert max(shares.values()) < 115


def test_no_member_is_overloaded() -> None:
    shares = Counter(preferred_owners(members(*"abcabcabcabc")).values())
    assert len(shares) == 12
    assert max(shares.values()) < 40
