"""Orders a second and processor time an order of one edge under full load, by kind of order.

`python -m ryelock.testing.load` brings up the small fleet without limits by rate, drives one edge
with closed loops of callers for some seconds a kind, and prints a JSON line. To compare two
versions run this same file with each one's packages on the path, in turn.
"""

import json
import os
import sys
import tempfile
from pathlib import Path

from ryelock.runtime import TaskCoroutine
from ryelock.runtime.reactor import Reactor
from ryelock.testing.processes.fleet import FAST
from ryelock.testing.processes.fleet_run import Run
from ryelock.testing.processes.reactors import run_to_end
from ryelock.testing.processes.shapes import SHAPES
from ryelock.testing.stand_ins.callers import Caller, RequestRecord

KINDS = {
    "hits": ("GET", "/covers/", 20),
    "misses": ("GET", "/status/", 100_000),
    "posts": ("POST", "/orders/", 100_000),
}
LOOPS = 16


def cpu_seconds(number: int) -> float:
    """Processor time that a process has used so far."""
    parts = Path(f"/proc/{number}/stat").read_text().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


async def closed_loop(run: Run, edge: str, kind: str, number: int, until: float) -> None:
    """Send requests of a kind, each after the answer to the one before."""
    method, path, objects = KINDS[kind]
    notes: list[RequestRecord] = []
    caller = Caller(run.scheduler, run.reactor, run.random, notes)
    count = 0
    while run.scheduler.now() < until:
        count += 1
        record = await caller.request(
            edge,
            method,
            f"{path}{run.random.randrange(objects)}",
            f"{kind}{number}-{count}",
            None,
            b"x" * 64 if method == "POST" else b"",
        )
        if record.status == 200:
            run.requests_sent += 1
        notes.clear()
        run.history.clear()
    caller.close()


async def drive(run: Run, seconds: float) -> dict[str, object]:
    """Bring the fleet up, drive one edge by each kind, and return what that cost."""
    good = await run.bring_up()
    services = run.shape.configuration["services"]
    assert good and isinstance(services, dict)
    for service in services.values():
        service.update(rate=100_000, flight=1000, queue=1000)
    await run.set_up()
    await run.scheduler.sleep(4.0)
    edge = run.fleet.of_role("edge")[0]
    assert edge.popen is not None
    found: dict[str, object] = {}
    for kind in KINDS:
        run.requests_sent = 0
        before, since = cpu_seconds(edge.popen.pid), run.scheduler.now()
        for number in range(LOOPS):
            run.scheduler.create_task(
                closed_loop(run, edge.request_address, kind, number, since + seconds), name="loop"
            )
        await run.scheduler.sleep(seconds + 0.5)
        used = cpu_seconds(edge.popen.pid) - before
        found[kind] = {
            "a_second": round(run.requests_sent / seconds),
            "cpu_ms_an_order": round(1000 * used / max(1, run.requests_sent), 3),
        }
    return found


def main() -> None:
    """Run it all and print the outcome as JSON."""
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        runs: list[Run] = []

        def begin(reactor: Reactor) -> TaskCoroutine[dict[str, object]]:
            runs.append(Run(SHAPES["small"](), Path(folder), reactor, 1, dict(FAST)))
            return drive(runs[0], 5.0)

        try:
            ended = run_to_end(begin)
        finally:
            for run in runs:
                run.fleet.stop()
    sys.stderr.writelines(f"{fault}\n" for fault in ended.faults)
    if ended.result is not None:
        sys.stdout.write(json.dumps(ended.result) + "\n")


if __name__ == "__main__":
    main()
