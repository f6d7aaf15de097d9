"""The first phase: all processes start, and the hollow nodes join."""

from ryelock.testing.processes.accounts import Spent
from ryelock.testing.processes.fleet import wait_ready
from ryelock.testing.scale.readings import Reading, grown
from ryelock.testing.scale.run import ScaleRun

READY_SECONDS = 60.0
JOIN_SECONDS = 40.0
SETTLE_SECONDS = 3.0


async def bring_up(run: ScaleRun) -> bool:
    """Start the real processes, apply a configuration, and let the hollow nodes join."""
    if not await start_processes(run):
        return False
    if not await apply_configuration(run):
        return False
    size = run.size
    before = await run.read()
    started = run.scheduler.now()
    await run.tell("hollow.lose", without="")
    await run.tell("hollow.start", pause=size.processes / size.joins)
    back = await run.times("hollow.back", JOIN_SECONDS + size.nodes / size.joins)
    after = await run.read()
    keep_storm(run, "join", started, back, before, after)
    keep_snapshots(run, before, after)
    keep_busiest(run, "join", before, after)
    await run.scheduler.sleep(SETTLE_SECONDS)
    return len(back) == size.nodes


async def start_processes(run: ScaleRun) -> bool:
    """Start everything and wait until the daemons are ready and one leads."""
    run.fleet.start()
    for hollow in run.hollow:
        hollow.start()
    for process in run.fleet.processes.values():
        if not await wait_ready(run.scheduler, run.reactor, process, READY_SECONDS):
            run.faults.append(f"{process.name} is not ready")
            return False
    if await run.find_leader() is None:
        run.faults.append("no leader")
        return False
    return True


async def apply_configuration(run: ScaleRun) -> bool:
    """Apply the size's configuration."""
    change = {"id": "first", "base": 0, "put": run.fleet.shape.configuration}
    status, _ = await run.post("/changes", change)
    if status != 200:
        run.faults.append(f"the first change: {status}")
    return status == 200


async def wait_storm(run: ScaleRun, name: str, started: float, before: Reading) -> Reading:
    """Wait until all sessions stand again, and note what it took; return the later reading."""
    back = await run.times("hollow.back", JOIN_SECONDS)
    after = await run.read()
    keep_storm(run, name, started, back, before, after)
    keep_busiest(run, name, before, after)
    return after


def keep_storm(
    run: ScaleRun, name: str, started: float, back: list[float], before: Reading, after: Reading
) -> None:
    """Note what it took until all sessions stood; those that never came are a fault."""
    figures, nodes = run.figures, run.size.nodes
    if len(back) < nodes:
        run.faults.append(f"{name}: {len(back)} of {nodes} sessions")
    figures[f"{name} sessions"] = len(back)
    if back:
        figures[f"{name} s to half"] = back[len(back) // 2] - started
        figures[f"{name} s to all"] = back[-1] - started
    asks = after.asks - before.asks
    figures[f"{name} asks a node"] = sum(asks.values()) / nodes
    run.notes[f"{name} asks"] = dict(asks)
    figures[f"{name} images"] = grown("images", before, after)


def keep_snapshots(run: ScaleRun, before: Reading, after: Reading) -> None:
    """Note the size of a snapshot and the time to restore one, where nodes took any."""
    snapshots = grown("images", before, after)
    if snapshots:
        run.figures["image bytes"] = grown("image_bytes", before, after) / snapshots
        seconds = grown("image_seconds", before, after)
        run.figures["image ms to restore"] = 1000 * seconds / snapshots


def keep_busiest(run: ScaleRun, name: str, before: Reading, after: Reading) -> None:
    """Note what the control nodes sent, and the processor time of the busiest."""
    spent = [
        Spent(before.accounts.get(core), account)
        for core, account in after.accounts.items()
        if core.startswith("core")
    ]
    run.figures[f"{name} MB from cores"] = sum(one.bytes_out for one in spent) / 1e6
    run.figures[f"{name} s of processor, busiest core"] = max(one.cpu for one in spent)
