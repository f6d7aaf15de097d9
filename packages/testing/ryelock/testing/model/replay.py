"""Replay a schedule from a file."""

import sys
from pathlib import Path

from ryelock.testing.model.schedule import decode_schedule, run_schedule


def replay_schedule(path: str) -> int:
    """Run the schedule in a file and print its violation; return the exit status, 1 if any."""
    violation = run_schedule(decode_schedule(Path(path).read_text()))
    sys.stdout.write(f"{violation or 'no invariant was broken'}\n")
    return 0 if violation is None else 1
