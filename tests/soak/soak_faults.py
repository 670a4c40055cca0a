"""Random faults of the soak test."""

from __future__ import annotations

import random
import signal
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import ensureDeferred

from lycheestall.clock import sleep
from lycheestall.entry.store import KeyedWrite, Topic
from tests.entry.memory_store import MemoryLog
from tests.soak.loopback_proxy import LoopbackProxy, ProxyMode
from tests.soak.soak_limits import SoakLimits
from tests.soak.soak_targets import SoakTarget, TargetFault
from tests.soak.soak_vm import SoakVm

ENGINES = "engines"
"""Service of the targets that leave and join."""

CUTTING_MODES = (ProxyMode.REFUSE, ProxyMode.CUT)
"""How the links of a VM to all targets are lost."""

DISTURBING_MODES = (
    ProxyMode.DELAY,
    ProxyMode.RESET,
    ProxyMode.SILENT,
    ProxyMode.ONE_WAY,
)
"""How the way to the store or to one target is disturbed."""


class SoakFaults:
    """Injects faults from outside the processes.

    Args:
        reactor: Times the faults.
        rng: Chooses them.
        builds_rng: Chooses the build that a VM runs after each restart.
        log: The store's content.
        vms: The VMs to disturb.
        targets: The targets to disturb.
        limits: Learns when VMs are disturbed.
        counts: Receives the number of faults by name.
        change_configuration: Publishes another configuration.
        finished: Returns whether the run has ended.

    Attributes:
        store_disturbed_until: When the last disturbance of a VM's link to
            the store ends.
    """

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        *,
        builds_rng: random.Random,
        log: MemoryLog,
        vms: Sequence[SoakVm],
        targets: Sequence[SoakTarget],
        limits: SoakLimits,
        counts: Counter[str],
        change_configuration: Callable[[], None],
        finished: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._random = rng
        self._builds_random = builds_rng
        self._log = log
        self._vms = vms
        self._targets = targets
        self._limits = limits
        self._counts = counts
        self._configure = change_configuration
        self._finished = finished
        self.store_disturbed_until = 0.0

    async def inject(self, seconds: float) -> None:
        """Injects faults for some seconds."""
        deadline = self._reactor.seconds() + seconds
        while self._reactor.seconds() < deadline:
            await sleep(self._reactor, self._random.uniform(0.2, 1.2))
            fault = self._random.choice(
                (
                    self._kill,
                    self._pause,
                    self._terminate,
                    self._disturb_one_store_link,
                    self._disturb_all_store_links,
                    self._disturb_one_target,
                    self._cut_target_links,
                    self._change_configuration,
                    self._kill_all,
                    self._remove_engine,
                    self._garble_one_target,
                )
            )
            self._counts[fault.__name__.strip("_")] += 1
            fault()

    def _kill(self) -> None:
        self._restart(self._random.choice(self._vms), signal.SIGKILL)

    def _kill_all(self) -> None:
        for vm in self._vms:
            self._restart(vm, signal.SIGKILL)

    def _terminate(self) -> None:
        self._restart(self._random.choice(self._vms), signal.SIGTERM)

    def _restart(self, vm: SoakVm, number: signal.Signals) -> None:
        self._limits.vm_disturbed(self._reactor.seconds())
        vm.signal(signal.SIGCONT)
        vm.signal(number)
        ensureDeferred(self._start_when_exited(vm))

    async def _start_when_exited(self, vm: SoakVm) -> None:
        process = vm.process
        while process is not None and process.poll() is None:
            await sleep(self._reactor, 0.05)
        if vm.process is process and not self._finished():
            self._limits.vm_disturbed(self._reactor.seconds())
            vm.build = self._builds_random.choice(vm.builds)
            vm.start()

    def _pause(self) -> None:
        vm = self._random.choice(self._vms)
        vm.signal(signal.SIGSTOP)
        pause_s = self._random.uniform(0.3, 2.0)
        self._limits.vm_disturbed(self._reactor.seconds())
        self._reactor.callLater(pause_s, self._resume, vm)

    def _resume(self, vm: SoakVm) -> None:
        self._limits.vm_disturbed(self._reactor.seconds())
        vm.signal(signal.SIGCONT)

    def _disturb_one_store_link(self) -> None:
        self._disturb_proxies([self._random.choice(self._vms).store_proxy])

    def _disturb_all_store_links(self) -> None:
        self._disturb_proxies([vm.store_proxy for vm in self._vms])

    def _disturb_one_target(self) -> None:
        self._disturb_proxies([self._random.choice(self._targets).proxy])

    def _disturb_proxies(self, proxies: list[LoopbackProxy]) -> None:
        mode = self._random.choice(DISTURBING_MODES)
        duration_s = self._random.uniform(0.3, 3.0)
        if any(vm.store_proxy in proxies for vm in self._vms):
            until = self._reactor.seconds() + duration_s
            self.store_disturbed_until = max(self.store_disturbed_until, until)
        for proxy in proxies:
            proxy.set_mode(mode)
            self._reactor.callLater(duration_s, proxy.set_mode, ProxyMode.PASS)

    def _cut_target_links(self) -> None:
        vms = self._random.sample(self._vms, self._random.randint(1, 2))
        mode = self._random.choice(CUTTING_MODES)
        duration_s = self._random.uniform(0.5, 4.0)
        for vm in vms:
            vm.links.set_mode(mode)
            self._reactor.callLater(
                duration_s, vm.links.set_mode, ProxyMode.PASS
            )

    def _remove_engine(self) -> None:
        """Removes an engine's entry, unless its version has no other one."""
        engines = [t for t in self._targets if t.service == ENGINES]
        engine = self._random.choice(engines)
        away_s = self._random.uniform(0.5, 4.0)
        version = engine.software_version
        peers = [
            t
            for t in engines
            if t.software_version == version and t.registered
        ]
        if len(peers) < 2:
            return
        engine.registered = False
        removal = KeyedWrite(engine.registration().key, None)
        self._log.put(Topic.TARGETS, removal)
        self._reactor.callLater(away_s, self._add_engine, engine)

    def _garble_one_target(self) -> None:
        """Lets a target answer faultily for some time."""
        target = self._random.choice(self._targets)
        target.fault = self._random.choice(list(TargetFault))
        duration_s = self._random.uniform(0.3, 3.0)
        self._reactor.callLater(duration_s, self._mend, target)

    def _mend(self, target: SoakTarget) -> None:
        target.fault = None

    def _add_engine(self, engine: SoakTarget) -> None:
        engine.registered = True
        self._log.put(Topic.TARGETS, engine.registration())

    def _change_configuration(self) -> None:
        self._configure()
