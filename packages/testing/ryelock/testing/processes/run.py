"""One run of a fleet of real processes: traffic, faults by plan, and a report of rules kept.

`python -m ryelock.testing fleet SHAPE` prints a JSON report.
"""

import json
import sys
import tempfile
import time
from pathlib import Path

from ryelock.runtime import TaskCoroutine
from ryelock.runtime.reactor import Reactor
from ryelock.testing.processes.fleet import FAST
from ryelock.testing.processes.fleet_faults import with_faults
from ryelock.testing.processes.fleet_run import Run
from ryelock.testing.processes.reactors import run_to_end
from ryelock.testing.processes.shapes import SHAPES


async def quick(run: Run, seconds: float, faults: bool) -> int:
    """The run of the quick start and of CI: everything seen once, rules checked."""
    good = await run.bring_up()
    good = good and await run.set_up()
    if not good:
        return 1
    started = run.scheduler.now()
    run.start_traffic(run.shape.rate)
    await run.scheduler.sleep(seconds)
    zone = run.shape.zones[0]
    run.report["healthy_after"] = await run.wait_verdict(zone, "healthy", 30)
    status, answer = await run.change(
        "under-load",
        1,
        put={"routes": {"extra": {"path": "/extra", "service": next(iter(run.shape.servers))}}},
    )
    run.report["change_under_load"] = {"status": status, "version": answer.get("version")}
    status, _ = await run.operator(
        "POST", "/purges", {"id": "purge-1", "scopes": [{"prefix": run.shape.kinds[0].path}]}
    )
    run.report["purge"] = status
    drained = run.fleet.of_role("edge")[0]
    status, _ = await run.operator("POST", "/drains", {"id": "drain-1", "target": drained.name})
    run.report["drain"] = status
    status, _ = await run.operator(
        "POST", "/recoveries", {"id": "recover-1", "target": drained.name}
    )
    run.report["recover"] = status
    if faults:
        await with_faults(run)
    run.report["traffic"] = run.summary(started)
    await run.end_traffic()
    found = run.findings()
    run.report["violations"] = found.violations[:20]
    run.report["checked"] = found.checked
    return 0 if not found.violations and status == 200 else 1


def run_fleet(name: str, seconds: float, seed: int, faults: bool, keep: str) -> int:
    """Bring a shape up, run it, print the report; the exit code tells whether rules held."""
    settings: dict[str, object] = dict(FAST)
    if name != "small":
        settings["probe_seconds"] = 3.0
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        runs: list[Run] = []

        def begin(reactor: Reactor) -> TaskCoroutine[int]:
            runs.append(Run(SHAPES[name](), Path(keep or folder), reactor, seed, settings))
            return quick(runs[0], seconds, faults)

        started = time.monotonic()
        try:
            ended = run_to_end(begin)
        finally:
            for run in runs:
                run.fleet.stop()
        run.report["seconds"] = round(time.monotonic() - started, 1)
    sys.stderr.writelines(f"{fault}\n" for fault in ended.faults)
    sys.stdout.write(json.dumps(run.report, indent=2) + "\n")
    return 1 if ended.faults or ended.result is None else ended.result
