"""Which links a VM takes for lost, and which it probes."""

from __future__ import annotations

import pytest

from lycheestall.entry.target_links import (
    ALL_SILENT_S,
    CALM_PROBE_INTERVAL_S,
    DOWN_VALID_S,
    LOST_VALID_S,
    MAX_PROBES_AT_ONCE,
    PROBE_INTERVAL_S,
    SILENT_S,
    WANTED_S,
    TargetLinks,
)
from lycheestall.ids import TargetId

TARGETS = tuple(TargetId(f"t{number:02}") for number in range(40))
ONE, TWO, THREE, FOUR = TARGETS[:4]
PROBE_S = 0.25
TICK_S = 0.1


@pytest.fixture
def links() -> TargetLinks:
    """Links to four targets, which have all been heard at time 0."""
    links = TargetLinks()
    for target in (ONE, TWO, THREE, FOUR):
        links.request_started(target, 0.0)
        links.connected(target, 0.0)
        links.request_ended(target)
    return links


def lose_all(links: TargetLinks, now: float) -> float:
    """Lets all probes fail in silence; returns the time after them."""
    links.request_started(ONE, now)
    links.request_started(TWO, now)
    now += ALL_SILENT_S + TICK_S
    for target in links.start_probes(TARGETS[:4], now):
        links.probe_failed(target, now + PROBE_S, refused=False)
    return now + PROBE_S


def test_silence_of_several_targets_that_owe_responses_is_probed(
    links: TargetLinks,
) -> None:
    links.request_started(ONE, 1.0)
    links.request_started(TWO, 1.0)
    assert links.start_probes(TARGETS[:4], 1.0 + ALL_SILENT_S / 2) == []
    # Others are probed as well: they tell the loss of some from that of all.
    now = 1.0 + ALL_SILENT_S
    assert links.start_probes(TARGETS[:4], now) == [ONE, TWO, THREE, FOUR]
    assert not any(links.is_up(target, now) for target in TARGETS[:4])
    links.connected(FOUR, now + 0.01)
    for target in (ONE, TWO):
        links.probe_failed(target, now + PROBE_S, refused=False)
    assert not links.all_lost


def test_silence_of_one_target_among_others_is_probed_later(
    links: TargetLinks,
) -> None:
    links.request_started(ONE, 3.0)
    links.heard(TWO, 3.0 + SILENT_S - 0.01)
    assert links.start_probes(TARGETS[:4], 3.0 + SILENT_S - 0.01) == []
    assert links.start_probes(TARGETS[:4], 3.0 + SILENT_S) == [ONE]


def test_a_quiet_vm_probes_nothing(links: TargetLinks) -> None:
    assert links.start_probes(TARGETS[:4], 60.0) == []
    assert links.is_up(ONE, 60.0)


# Guards against taking a target that pauses for a second for unreachable.
def test_a_slow_target_that_accepts_connections_keeps_its_link(
    links: TargetLinks,
) -> None:
    links.request_started(ONE, 3.0)
    now = 3.0 + SILENT_S
    assert links.start_probes(TARGETS[:4], now) == [ONE]
    links.connected(ONE, now + 0.01)
    assert links.is_up(ONE, now + 0.01)
    assert not links.all_lost
    assert (
        links.start_probes(TARGETS[:4], now + CALM_PROBE_INTERVAL_S / 2) == []
    )


def test_a_target_that_is_heard_during_its_probe_keeps_its_link(
    links: TargetLinks,
) -> None:
    links.request_started(ONE, 3.0)
    now = 3.0 + SILENT_S
    links.start_probes(TARGETS[:4], now)
    links.heard(ONE, now + 0.1)
    links.probe_failed(ONE, now + PROBE_S, refused=False)
    assert links.is_up(ONE, now + PROBE_S)


def test_silent_links_without_any_sign_mean_that_all_are_lost(
    links: TargetLinks,
) -> None:
    now = lose_all(links, 3.0)
    assert links.all_lost
    assert not links.is_up(TARGETS[20], now)
    assert links.is_silent(ONE, now)


# Guards against taking the crash of some targets for the loss of all links.
def test_lost_links_while_others_are_heard_leave_the_others_up(
    links: TargetLinks,
) -> None:
    for number in range(20):
        now = 3.0 + number * TICK_S
        links.heard(THREE, now)
        links.connect_failed(ONE, now, refused=True)
        links.connect_failed(TWO, now, refused=True)
        links.start_probes(TARGETS[:4], now)
        assert not links.all_lost
        assert links.is_up(THREE, now)


def test_one_connection_that_opens_ends_the_loss_of_all(
    links: TargetLinks,
) -> None:
    now = lose_all(links, 3.0)
    assert links.start_probes(TARGETS[:4], now + PROBE_INTERVAL_S)
    links.connected(THREE, now + PROBE_INTERVAL_S + 0.01)
    assert not links.all_lost
    assert links.is_up(THREE, now + PROBE_INTERVAL_S + 0.01)


# Guards against taking the crash of the few targets that a VM has used for
# the loss of all links.
def test_targets_that_were_not_used_are_probed_before_all_count_as_lost() -> (
    None
):
    links = TargetLinks()
    for target in (ONE, TWO):
        links.request_started(target, 0.0)
        links.connect_failed(target, 0.0, refused=True)
    assert links.start_probes(TARGETS[:4], 0.1) == [THREE, FOUR]
    assert not links.all_lost
    links.connected(THREE, 0.11)
    assert links.start_probes(TARGETS[:4], 0.2) == []
    assert not links.all_lost


# Guards against many connections at once where links come back together.
def test_lost_links_are_probed_a_few_at_a_time() -> None:
    links = TargetLinks()
    for number in range(40):
        links.request_started(TargetId(f"t{number:02}"), 0.0)
        links.connect_failed(TargetId(f"t{number:02}"), 0.0, refused=True)
    started = 0
    for step in range(20):
        started += len(links.start_probes(TARGETS, 0.5 + step * TICK_S))
    rounds = 20 * TICK_S / PROBE_INTERVAL_S
    assert links.all_lost
    assert 0 < started <= MAX_PROBES_AT_ONCE * (rounds + 1)


def test_links_in_use_are_probed_next_after_one_was_found_silent(
    links: TargetLinks,
) -> None:
    links.request_started(ONE, 3.0)
    links.want(TWO, 3.0)
    now = 3.0 + SILENT_S
    assert links.start_probes(TARGETS[:4], now) == [ONE]
    links.probe_failed(ONE, now + PROBE_S, refused=False)
    assert links.start_probes(TARGETS[:4], now + PROBE_S) == [TWO]


def test_what_is_known_of_a_link_that_nobody_wants_becomes_outdated(
    links: TargetLinks,
) -> None:
    links.heard(TWO, 9.9)
    links.connect_failed(ONE, 10.0, refused=True)
    assert not links.is_up(ONE, 10.0 + LOST_VALID_S)
    assert links.is_up(ONE, 10.0 + LOST_VALID_S + 0.1)
    assert links.start_probes(TARGETS[:4], 10.0 + WANTED_S) == []


def test_a_target_counts_as_down_for_a_while_or_until_it_is_reached(
    links: TargetLinks,
) -> None:
    links.connect_failed(ONE, 3.0, refused=True)
    links.target_down(ONE, 3.0)
    assert links.is_down(ONE, 3.0)
    assert not links.is_down(ONE, 3.0 + DOWN_VALID_S)
    links.connected(ONE, 3.1)
    assert not links.is_down(ONE, 3.1)


def test_a_target_that_is_no_longer_registered_is_forgotten(
    links: TargetLinks,
) -> None:
    links.connect_failed(ONE, 3.0, refused=True)
    links.keep_only({TWO})
    assert links.is_up(ONE, 3.0)
    assert links.summary(3.0).lost == ()
