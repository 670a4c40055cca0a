"""Runs the soak test by hand: ``python -m tests.soak --seeds 50``."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import click

from lycheestall._reactor import install_reactor

install_reactor()

from twisted.internet import reactor as _reactor  # noqa: E402
from twisted.internet.defer import ensureDeferred  # noqa: E402

from lycheestall.logs import configure_logs  # noqa: E402
from tests.soak.soak import Soak  # noqa: E402

reactor: Any = _reactor


@click.command()
@click.option("--first", "--seed", "first", default=1, help="First seed.")
@click.option("--seeds", default=1, help="How many seeds.")
@click.option("--seconds", default=10.0, help="Seconds of faults per seed.")
@click.option(
    "--other-build",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Folder of another build that some of the VMs run.",
)
def main(
    first: int, seeds: int, seconds: float, other_build: Path | None
) -> None:
    """Runs the seeds in sequence; exits with 1 if a guarantee is violated."""
    configure_logs(level="error")
    failed: list[int] = []

    async def work() -> None:
        for seed in range(first, first + seeds):
            directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            soak = Soak(
                reactor,
                seed=seed,
                seconds=seconds,
                directory=directory,
                other_build=other_build,
            )
            report = await soak.run()
            starts = {str(b): n for b, n in report.starts.items()}
            click.echo(
                f"seed {seed}: statuses {dict(report.statuses)}, "
                f"conversations {dict(report.conversations)}, "
                f"limited {report.limited_requests}, "
                f"resumed {dict(report.resumed)}, "
                f"relayed {report.relayed}, "
                f"starts {starts}, "
                f"faults {dict(report.faults)}, logs {directory}"
            )
            for line in report.violations[:10]:
                click.echo(f"  {line}")
            if report.violations:
                failed.append(seed)

    def begin() -> None:
        done = ensureDeferred(work())
        done.addErrback(
            lambda failure: (failure.printTraceback(), failed.append(-1))
        )
        done.addBoth(lambda _: reactor.stop())

    reactor.callLater(0, begin)
    reactor.run()
    click.echo(f"{seeds} seeds, failed: {failed or 'none'}")
    raise SystemExit(1 if failed else 0)


main()
