"""Streams over two software versions when VMs die or fall out of step."""

from __future__ import annotations

import signal
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.defer import ensureDeferred

from tests.soak.loopback_proxy import ProxyMode
from tests.soak.version_story import Outcome, VersionStory

Run = Callable[[Coroutine[Any, Any, Any]], Any]
NewStory = Callable[..., VersionStory]

EACH_VERSION = {"v1": 3, "v2": 3}
"""Number of targets by software version."""

MIN_STREAMS = 12
"""Least number of streams that make a story."""


@pytest.fixture
def new_story(reactor: Any, tmp_path: Path) -> Iterator[NewStory]:
    """Returns a function that creates a story, which is closed at the end."""
    stories: list[VersionStory] = []

    def create(*, seed: int, vms: int) -> VersionStory:
        story = VersionStory(
            reactor, tmp_path, seed=seed, vms=vms, targets=EACH_VERSION
        )
        stories.append(story)
        return story

    yield create
    for story in stories:
        story.close()


def assert_none_mixed(*outcomes: Outcome) -> None:
    for outcome in outcomes:
        print(outcome)
    for outcome in outcomes:
        assert sum(outcome.begun.values()) >= MIN_STREAMS, outcome
        assert outcome.mixed == 0, outcome
        assert not outcome.violations, outcome


def assert_half_go_on(outcome: Outcome) -> None:
    assert 2 * outcome.gone_on >= sum(outcome.begun.values()), outcome


# Guards against streams of both versions that nobody can take up, or that
# change the version, after all VMs were killed at once.
@pytest.mark.parametrize("seed", [1])
def test_streams_go_on_after_all_vms_were_killed(
    run: Run, new_story: NewStory, seed: int
) -> None:
    story = new_story(seed=seed, vms=3)

    async def play() -> Outcome:
        await story.start("v1", "v2")
        streams = []
        for version in EACH_VERSION:
            story.begin_only_at(version)
            for vm in story.vms:
                streams += await story.begin(vm, 4)
            await story.pause(0.4)
        await story.kill(story.vms)
        for vm in story.vms:
            vm.start()
        broken = await story.broken(streams)
        await story.wait_until_ready(story.vms)
        await story.take_up(broken, story.vms)
        return story.outcome(broken)

    outcome = run(play())
    assert_none_mixed(outcome)
    assert min(outcome.begun[v] for v in EACH_VERSION) >= 8, outcome
    assert_half_go_on(outcome)


# Guards against a VM that takes the only version it has seen for the only
# one there is, while it hears neither the store nor its peers.
@pytest.mark.parametrize("seed", [1])
def test_a_vm_out_of_step_mixes_no_versions(
    run: Run, new_story: NewStory, seed: int
) -> None:
    story = new_story(seed=seed, vms=8)
    cut, beginner, *others = story.vms

    async def play() -> tuple[Outcome, Outcome]:
        await story.start("v1")
        # The VM's knowledge is as fresh as can be when it is cut off.
        story.register("v1")
        await story.pause(0.2)
        cut.store_proxy.set_mode(ProxyMode.SILENT)
        await story.pause(0.1)
        story.begin_only_at("v2")
        story.register("v2")
        await story.wait_until_begun(beginner)
        streams = await story.begin(beginner, 20)
        # Later on, the VM would reach the store through its peers.
        await story.pause(0.4)
        for vm in others:
            vm.signal(signal.SIGSTOP)
        await story.kill([beginner])
        broken = await story.broken(streams)
        taking_up = ensureDeferred(story.take_up(broken, [cut]))
        await story.pause(2.0)
        cut.store_proxy.set_mode(ProxyMode.PASS)
        for vm in others:
            vm.signal(signal.SIGCONT)
        await taking_up
        await story.wait_until_ready([cut, *others])
        later = await story.broken(
            await story.begin(others[0], MIN_STREAMS, patience_s=0.6)
        )
        await story.take_up(later, [cut])
        return story.outcome(broken), story.outcome(later)

    outcome, later_outcome = run(play())
    assert_none_mixed(outcome, later_outcome)
    assert outcome.begun["v2"] >= MIN_STREAMS, outcome
    assert_half_go_on(later_outcome)


# Guards against a VM that stood still while a version joined and takes up
# streams before it has heard of it.
@pytest.mark.parametrize("seed", [1])
def test_a_vm_that_stood_still_mixes_no_versions(
    run: Run, new_story: NewStory, seed: int
) -> None:
    story = new_story(seed=seed, vms=3)
    frozen, beginner, _ = story.vms

    async def play() -> Outcome:
        await story.start("v1")
        frozen.signal(signal.SIGSTOP)
        await story.pause(0.2)
        story.begin_only_at("v2")
        story.register("v2")
        await story.pause(1.0)
        streams = await story.begin(beginner, 20)
        await story.pause(0.8)
        await story.kill([beginner])
        broken = await story.broken(streams)
        taking_up = ensureDeferred(story.take_up(broken, [frozen]))
        await story.pause(0.3)
        frozen.signal(signal.SIGCONT)
        await taking_up
        return story.outcome(broken)

    outcome = run(play())
    assert_none_mixed(outcome)
    assert outcome.begun["v2"] >= MIN_STREAMS, outcome


# Guards against streams that began while one version served and that nobody
# can take up once a second one has joined and their VM was killed.
@pytest.mark.parametrize("seed", [1])
def test_streams_go_on_after_a_second_version_joined(
    run: Run, new_story: NewStory, seed: int
) -> None:
    story = new_story(seed=seed, vms=3)
    beginner, *others = story.vms

    async def play() -> Outcome:
        await story.start("v1")
        streams = await story.begin(beginner, 24)
        await story.pause(0.2)
        story.register("v2")
        await story.pause(1.5)
        await story.kill([beginner])
        broken = await story.broken(streams)
        await story.take_up(broken, others)
        return story.outcome(broken)

    outcome = run(play())
    assert_none_mixed(outcome)
    assert_half_go_on(outcome)
