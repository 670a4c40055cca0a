"""One entry VM of the soak test: a process with a proxy to the store."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from lycheestall.entry.http_client_connection import (
    BreakReason,
    ResponseReceiver,
)
from lycheestall.entry.http_messages import ResponseHead
from tests.soak.loopback_proxy import LoopbackProxy
from tests.soak.soak_links import SoakLinks

ROOT = Path(__file__).resolve().parent.parent.parent

SETTINGS = """\
node_name={name}
zone=zone-a
ip=127.0.0.1
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
internal_ports={internal_first},{internal_last}
platform.address=127.0.0.1:{store_port}
bounds.grace_s=6
"""


class SoakVm:
    """One entry VM's process and its connection to the store.

    Args:
        number: Its number, which is also in its name.
        ports: Its ports for callers and for readiness, and its first
            internal one.
        reactor: Listens and connects.
        links: Its links to the store and the targets.
        directory: Directory for settings and logs.
        builds: Folders of the builds that it may run.

    Attributes:
        build: Folder of the build that its next start runs.
        starts: Number of starts by the folder of the build.
    """

    def __init__(
        self,
        number: int,
        ports: list[int],
        reactor: Any,
        links: SoakLinks,
        directory: Path,
        *,
        builds: Sequence[Path] = (ROOT,),
    ) -> None:
        self.builds = builds
        self.build = builds[number % len(builds)]
        self.starts: Counter[Path] = Counter()
        self.front = ports[0]
        self.ready = ports[1]
        self.links = links
        self.store_proxy = LoopbackProxy(reactor, links.store_port)
        self._directory = directory
        self._name = f"vm-{number}"
        self._settings = directory / f"{self._name}.conf"
        self._settings.write_text(
            SETTINGS.format(
                name=self._name,
                front=ports[0],
                ready=ports[1],
                internal_first=ports[2],
                internal_last=ports[2] + 1,
                store_port=self.store_proxy.port,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        self.starts[self.build] += 1
        with (self._directory / f"{self._name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "lycheestall",
                    "entry",
                    "--settings",
                    str(self._settings),
                ],
                cwd=self.build,
                stdout=log,
                stderr=log,
            )

    def relayed_attempts(self) -> int:
        """Returns how many attempts its log says that peers were to send."""
        log = (self._directory / f"{self._name}.log").read_text()
        return log.count('"event": "attempt relayed"')

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class ReceivedAnswer(ResponseReceiver):
    """Collects an answer, whether it is complete or not.

    Attributes:
        status: Its status; 0 if no answer came.
        retry_after_s: The delay that it asks for before another attempt.
        body: What was received of its body.
        done: Fires with whether the answer is complete.
    """

    def __init__(self) -> None:
        self.status = 0
        self.retry_after_s: float | None = None
        self.body = b""
        self.done: Deferred[bool] = Deferred()

    def response_started(self, head: ResponseHead) -> bool:
        """Stores the status and when to send the request again."""
        self.status = head.status
        for name, value in head.headers:
            if name.lower() == b"retry-after":
                self.retry_after_s = float(value)
        return True

    def response_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        self.body += data

    def response_ended(self) -> None:
        """Ends the answer as complete."""
        self.end(whole=True)

    def response_failed(self, reason: BreakReason) -> None:
        """Ends the answer as incomplete."""
        self.end(whole=False)

    def end(self, *, whole: bool) -> None:
        """Ends the answer; later calls have no effect."""
        if not self.done.called:
            self.done.callback(whole)
