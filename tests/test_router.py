"""What the router counts as in progress."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from lycheestall.calls import (
    Call,
    CallHandle,
    CallHandler,
    CallKind,
    CallSink,
    ResponseHead,
)
from lycheestall.ids import AccountId, ProgramId, VmId
from lycheestall.messages import CallDetached, CallForwarded
from lycheestall.outcomes import Completed
from lycheestall.router import Router

HERE, THERE = VmId("vm-1"), VmId("vm-2")
CALL = Call(CallKind.CHAT, AccountId("snowline"), ProgramId("p1"))


class Sinks(CallHandler, CallHandle):
    """Keeps the sinks of the calls it is given and counts who leaves."""

    def __init__(self):
        self.sinks = []
        self.left = 0

    def handle(self, call, sink):
        """Keeps the call's sink."""
        self.sinks.append(sink)
        return self

    def detach(self):
        """Counts a caller that has gone."""
        self.left += 1


class Mesh:
    """Keeps the messages sent."""

    def __init__(self):
        self.sent = []

    def send(self, peer, message):
        """Keeps a message."""
        self.sent.append((peer, message))
        return True


class Cell:
    """Says that one VM owns everything."""

    def __init__(self, owner):
        self._owner = owner

    def owner_of(self, partition):
        """Returns the owner."""
        return self._owner


class NoSink(CallSink):
    """Takes an answer and keeps nothing."""

    def start(self, head):
        """Takes the head."""

    def chunk(self, data):
        """Takes bytes."""

    def finish(self, outcome):
        """Takes the outcome."""


@pytest.fixture
def owner():
    return Sinks()


@pytest.fixture
def mesh():
    return Mesh()


def make(owner, mesh, *, owned_by):
    return Router(
        vm=HERE,
        cell=Cell(owned_by),
        mesh=mesh,
        owner=owner,
        partitions=8,
        clock=Clock(),
    )


def test_a_served_call_is_in_progress_until_its_end(owner, mesh):
    router = make(owner, mesh, owned_by=HERE)
    router.on_message(THERE, CallForwarded(7, CALL))
    assert router.in_progress() == 1
    owner.sinks[0].start(ResponseHead(200))
    owner.sinks[0].finish(Completed())
    assert router.in_progress() == 0


def test_a_served_call_whose_caller_left_is_not_in_progress(owner, mesh):
    router = make(owner, mesh, owned_by=HERE)
    router.on_message(THERE, CallForwarded(7, CALL))
    router.on_message(THERE, CallDetached(7))
    assert owner.left == 1
    assert router.in_progress() == 0
    owner.sinks[0].finish(Completed())
    assert mesh.sent == []


def test_a_forwarded_call_whose_caller_left_is_not_in_progress(owner, mesh):
    router = make(owner, mesh, owned_by=THERE)
    handle = router.handle(CALL, NoSink())
    assert router.in_progress() == 1
    handle.detach()
    assert router.in_progress() == 0
    assert mesh.sent[-1] == (THERE, CallDetached(1))
