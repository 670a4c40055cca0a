"""Tests of which calls the router counts as in progress."""

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

LOCAL_VM, REMOTE_VM = VmId("vm-1"), VmId("vm-2")
CALL = Call(CallKind.CHAT, AccountId("snowline"), ProgramId("p1"))


class FakeOwner(CallHandler, CallHandle):
    """Records the sinks of its calls and counts detached callers."""

    def __init__(self):
        self.sinks = []
        self.detached = 0

    def handle(self, call, sink):
        """Records the call's sink."""
        self.sinks.append(sink)
        return self

    def detach(self):
        """Counts a detached caller."""
        self.detached += 1


class FakeMesh:
    """Records the sent messages."""

    def __init__(self):
        self.sent = []

    def send(self, peer, message):
        """Records a message."""
        self.sent.append((peer, message))
        return True


class FakeCell:
    """A cell in which one VM owns all partitions."""

    def __init__(self, owner):
        self._owner = owner

    def owner_of(self, partition):
        """Returns the owner."""
        return self._owner


class NullSink(CallSink):
    """Discards a response."""

    def start(self, head):
        """Discards the head."""

    def chunk(self, data):
        """Discards bytes."""

    def finish(self, outcome):
        """Discards the outcome."""


@pytest.fixture
def owner():
    return FakeOwner()


@pytest.fixture
def mesh():
    return FakeMesh()


def new_router(owner, mesh, *, owned_by):
    return Router(
        vm=LOCAL_VM,
        cell=FakeCell(owned_by),
        mesh=mesh,
        owner=owner,
        partitions=8,
        clock=Clock(),
    )


def test_a_served_call_is_in_progress_until_its_end(owner, mesh):
    router = new_router(owner, mesh, owned_by=LOCAL_VM)
    router.on_message(REMOTE_VM, CallForwarded(7, CALL))
    assert router.in_progress() == 1
    owner.sinks[0].start(ResponseHead(200))
    owner.sinks[0].finish(Completed())
    assert router.in_progress() == 0


def test_a_served_call_whose_caller_left_is_not_in_progress(owner, mesh):
    router = new_router(owner, mesh, owned_by=LOCAL_VM)
    router.on_message(REMOTE_VM, CallForwarded(7, CALL))
    router.on_message(REMOTE_VM, CallDetached(7))
    assert owner.detached == 1
    assert router.in_progress() == 0
    owner.sinks[0].finish(Completed())
    assert mesh.sent == []


def test_a_forwarded_call_whose_caller_left_is_not_in_progress(owner, mesh):
    router = new_router(owner, mesh, owned_by=REMOTE_VM)
    handle = router.handle(CALL, NullSink())
    assert router.in_progress() == 1
    handle.detach()
    assert router.in_progress() == 0
    assert mesh.sent[-1] == (REMOTE_VM, CallDetached(1))
