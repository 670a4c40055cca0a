"""A conversation whose turns carry only what is new, without any I/O.

Run with ``python examples/kept_conversation.py``.
"""

from __future__ import annotations

from lycheestall.conversations import (
    Chain,
    ConversationTurn,
    ConversationTurnId,
    CopyCandidate,
    MissingTurns,
    TurnCache,
    choose_copy_holders,
    find_chain,
    prompt_body,
    shard_of,
)
from lycheestall.ids import ProgramId, ZoneId

RETENTION_S = 60.0
SHARDS = 96


def main() -> None:
    """Keeps two turns, and continues from the second one."""
    cache = TurnCache(max_bytes=1_000_000)
    first = ConversationTurn(
        turn_id=ConversationTurnId("turn-1"),
        ancestors=(),
        input=b"The chair sinks. ",
        output=b"Check the valve.\n",
        retention_s=RETENTION_S,
    )
    second = ConversationTurn(
        turn_id=ConversationTurnId("turn-2"),
        ancestors=(first.turn_id,),
        input=b"It leaks. ",
        output=b"Replace the seal.\n",
        retention_s=RETENTION_S,
    )
    cache.add(second, now=0.0, record_expires_at=180)
    missing = find_chain(second.turn_id, cache.get)
    assert isinstance(missing, MissingTurns)
    print("missing:", *missing.turn_ids)

    cache.add(first, now=0.0, record_expires_at=180)
    chain = find_chain(second.turn_id, cache.get)
    assert isinstance(chain, Chain)
    print("prompt:", prompt_body(chain, b"Which size?"))

    print("shard of turn-2:", shard_of(second.turn_id, SHARDS))
    vms = [CopyCandidate(f"vm-{n}", ZoneId(f"zone-{n % 3}")) for n in range(6)]
    print("copies:", *choose_copy_holders(ProgramId("p"), vms, 2))

    cache.expire(now=RETENTION_S)
    print("turns left:", len(cache))


if __name__ == "__main__":
    main()
