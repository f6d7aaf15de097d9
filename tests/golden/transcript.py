"""Print digests of all that seeded simulated runs show: `transcript.py [RUN ...]`.

A developer's tool, outside the test suite. For each run it prints a SHA-256 of all bytes on the
simulated network with their times (frames between processes and HTTP apart), of all writes to
disk, and of all lines of the log with their fields. A refactoring that keeps the order of steps
keeps every digest; where one moves, `--dump FOLDER` writes what was digested, to compare it with
that of the commit before.

The log's texts are not digested. Where only the digest of the log moves, a field or a fault's
text in it did.
"""

import argparse
import hashlib
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TextIO
from unittest import mock

ROOT = Path(__file__).resolve().parent.parent.parent
TESTS = ROOT / "tests"
PATHS = [TESTS / "support", *sorted((ROOT / "packages").iterdir())]
sys.path[:0] = [str(path) for path in PATHS if str(path) not in sys.path]

import platform_schedules  # noqa: E402
import simulated_runs  # noqa: E402
from observed import GREETING, MODEL, observed  # noqa: E402

from ryelock.testing.cases.control import isolated_leader  # noqa: E402
from ryelock.testing.model.schedule import draw  # noqa: E402
from ryelock.testing.model.schedule import run_schedule as run_model  # noqa: E402
from ryelock.testing.schedules import run_schedule  # noqa: E402

# What this file knows of the product's names: a rename inside changes this section only.


def every_message() -> None:
    """Control nodes, edges and probers through work, faults and the return."""
    simulated_runs.every_message()


def random_faults() -> None:
    """A random schedule of faults on a small deployment."""
    run_schedule(3)


def more_random_faults() -> None:
    """Another one, with more faults."""
    run_schedule(17, faults=14)


def platform_schedule() -> None:
    """A random schedule of faults on a deployment in the platform's words."""
    with mock.patch("operators.SystemRandom", lambda: Random("ids of purges")):
        platform_schedules.Schedule(5).run()


def model_schedules() -> None:
    """Consensus alone on adversarial schedules."""
    for seed in range(60):
        run_model(draw(seed))


def control_case() -> None:
    """A leader that is cut off in each way, and who answers for it."""
    isolated_leader(1)


RUNS: dict[str, Callable[[], None]] = {
    "every-message": every_message,
    "random-faults": random_faults,
    "more-random-faults": more_random_faults,
    "platform": platform_schedule,
    "model": model_schedules,
    "control-case": control_case,
}

KINDS = ("frames", "http", "disk", "log")


class Transcript:
    """Digests what it is told, one digest a kind; may write it down as well."""

    def __init__(self, folder: Path | None) -> None:
        """Start with nothing told; `folder` is where to write it down, None for nowhere."""
        self.digests = {kind: hashlib.sha256() for kind in KINDS}
        self.counts: dict[str, int] = defaultdict(int)
        self.frames: dict[int, bool] = {}
        self.files: dict[str, TextIO] = {}
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            self.files = {kind: (folder / kind).open("w") for kind in KINDS}

    def add(self, kind: str, line: str) -> None:
        """Digest one line."""
        self.counts[kind] += 1
        self.digests[kind].update(line.encode() + b"\n")
        if kind in self.files:
            self.files[kind].write(line + "\n")

    def sent(self, time: float, connection: int, listener: str, answers: bool, data: bytes) -> None:
        """Digest bytes on the network."""
        greeted = connection == MODEL or data.startswith(GREETING)
        frames = self.frames.setdefault(connection, greeted)
        way = "<" if answers else ">"
        line = f"{time!r} {connection} {listener} {way} {data!r}"
        self.add("frames" if frames else "http", line)

    def stored(self, time: float, node: str, what: str, arguments: tuple[object, ...]) -> None:
        """Digest a write to disk."""
        self.add("disk", f"{time!r} {node} {what} {arguments!r}")

    def logged(self, node: str, number: int, fields: dict[str, object]) -> None:
        """Digest a line of the log."""
        self.add("log", f"{node} {number} {fields!r}")

    def close(self) -> None:
        """Close what was written down."""
        for file in self.files.values():
            file.close()


def transcribe(name: str, folder: Path | None) -> Transcript:
    """Run one run and return what it showed."""
    transcript = Transcript(folder / name if folder is not None else None)
    with observed(transcript):
        RUNS[name]()
    transcript.close()
    return transcript


def main() -> int:
    """Print the digests of the runs that are named, of all where none is."""
    parser = argparse.ArgumentParser(description="Print digests of seeded simulated runs.")
    parser.add_argument("runs", nargs="*", metavar="RUN", help=", ".join(RUNS))
    parser.add_argument("--dump", type=Path, default=None, help="write what is digested here")
    arguments = parser.parse_args()
    unknown = [name for name in arguments.runs if name not in RUNS]
    if unknown:
        parser.error(f"no such run: {', '.join(unknown)}")
    for name in arguments.runs or RUNS:
        started = time.monotonic()
        transcript = transcribe(name, arguments.dump)
        seconds = time.monotonic() - started
        whole = hashlib.sha256()
        for kind in KINDS:
            digest = transcript.digests[kind].hexdigest()
            whole.update(digest.encode())
            sys.stdout.write(f"{name:20} {kind:7} {transcript.counts[kind]:8} {digest}\n")
        sys.stdout.write(f"{name:20} {'all':7} {'':8} {whole.hexdigest()}\n")
        sys.stdout.flush()
        sys.stderr.write(f"{name}: {seconds:.1f} s\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
