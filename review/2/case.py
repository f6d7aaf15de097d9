"""Clients upload at once, within the configured limits, and edges go over their memory."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    BROKEN, CALL_ERRORS, HELD, LIMITS, MEMORY_MB, CannotRunError, Deployment, Exchange, Operator,
    Process, Record, Server, connect, discard_body, new_identity, read_body, read_head,
    request_head, route, run_case, service,
)  # fmt: skip

UPLOAD_BYTES = 16_000_000
"""A quarter of `body_bytes`, which bounds what a client may send."""
CLIENTS = 24
"""Clients that come at once to one edge."""
EDGES = 2
ROUNDS = 3
PIECE_BYTES = 65_536
UPLOAD_BYTES_PER_SECOND = 100_000_000
"""What reaches one edge from all clients: four fifths of its link (`link_speed_mbps` 1000), so that
no packet waits at the link and the machine doesn't count as choked."""
DEADLINE_MS = 8000
WORK_SECONDS = 0.26
MAX_ENDS = 3
"""RULES.md, Fault: processes of a machine end by themselves three times in the day."""
MACHINES_TOO_MANY = 2
"""RULES.md, Fault: on a tenth of the machines in use, two at least; four are in use here."""


async def run_upload(server: Server, exchange: Exchange) -> bool:
    """Take the whole body, work on it, and answer."""
    length = await discard_body(exchange.reader, exchange.fields)
    server.record.write(f"server {server.identifier}: runs {exchange.identity}, {length} bytes")
    await asyncio.sleep(WORK_SECONDS)
    server.answer(exchange, 200, b"taken\n")
    return True


def servers(deployment: Deployment) -> None:
    """Add eight servers of the service, with two slots each."""
    for number in range(8):
        zone = deployment.machines[number % 4].zone
        deployment.add_server("bestell", zone, number + 1, 2, run_upload)


class MemoryLimit:
    """The platform's memory limit: a process that goes over `memory_mb` is killed (DEPLOY.md)."""

    def __init__(self, processes: list[Process], record: Record) -> None:
        self.processes = processes
        self.record = record
        self.ends = {process.machine.name: 0 for process in processes}
        self.peaks = {process.machine.name: 0 for process in processes}

    async def watch(self) -> None:
        """Look at each process every few milliseconds."""
        while True:
            for process in self.processes:
                used = process.memory_bytes()
                name = process.machine.name
                self.peaks[name] = max(self.peaks[name], used)
                if used > MEMORY_MB * 1024 * 1024:
                    process.signal(signal.SIGKILL)
                    self.ends[name] += 1
                    self.record.write(
                        f"platform: {process.name} holds {used >> 20} MiB, over its limit of "
                        f"{MEMORY_MB} MB, and is killed"
                    )
            await asyncio.sleep(0.01)


async def upload(address: str, record: Record, share: int) -> str:
    """Send one request with a long body, at a share of that rate; return how it ended."""
    identity = new_identity()
    fields = {
        "Host": "ficu95.example", "Attempt-Id": identity, "Deadline-Remaining": str(DEADLINE_MS),
    }  # fmt: skip
    piece = bytes(PIECE_BYTES)
    sent = 0
    started = time.monotonic()
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await connect(address)
            try:
                writer.write(request_head("POST", "/vose762/se99/", fields, UPLOAD_BYTES))
                while sent < UPLOAD_BYTES:
                    writer.write(piece[: UPLOAD_BYTES - sent])
                    sent = min(UPLOAD_BYTES, sent + PIECE_BYTES)
                    await writer.drain()
                    due = started + sent * share / UPLOAD_BYTES_PER_SECOND
                    await asyncio.sleep(max(0.0, due - time.monotonic()))
                line, found = await read_head(reader)
                await read_body(reader, found)
                ended = line.split(" ")[1]
            finally:
                writer.transport.abort()
    except CALL_ERRORS as error:
        ended = type(error).__name__
    record.write(f"client: POST {identity} to {address}: {sent} bytes sent, ends with {ended}")
    return ended


async def case(deployment: Deployment, record: Record, trouble: bool) -> int:
    """Play the case; return the exit code."""
    operator = Operator(deployment)
    configuration = {
        "version": "r1",
        "routes": [route("r-order", "/vose762/", "bestell", "unsafe", DEADLINE_MS, 1000)],
        "services": [service("bestell")],
        "limits": LIMITS,
    }
    if await operator.replace(configuration, 0, 20) != 200:
        raise CannotRunError("the first configuration was not taken")
    await deployment.wait_ready(15)
    await asyncio.sleep(2)
    edges = deployment.of_role("edge")[:EDGES]
    limit = MemoryLimit(edges, record)
    watching = asyncio.create_task(limit.watch())
    for number in range(ROUNDS):
        record.write(f"round {number + 1}: {CLIENTS} uploads of {UPLOAD_BYTES} bytes to each of {EDGES} edges, "
                     f"{'at once' if trouble else 'one after the other'}")  # fmt: skip
        addresses = [deployment.front_of(edge.machine) for edge in edges]
        started = time.monotonic()
        if trouble:
            await asyncio.gather(
                *(upload(address, record, CLIENTS) for address in addresses for _ in range(CLIENTS))
            )
        else:
            for _ in range(CLIENTS):
                await asyncio.gather(*(upload(address, record, 1) for address in addresses))
        record.write(f"round {number + 1} took {time.monotonic() - started:.1f} s")
        await deployment.wait_ready(15)
        await asyncio.sleep(2)
    watching.cancel()
    for name, ends in limit.ends.items():
        record.write(f"{name}: ended {ends} times, most memory {limit.peaks[name] >> 20} MiB")
    machines = sum(ends >= MAX_ENDS for ends in limit.ends.values())
    return BROKEN if machines >= MACHINES_TOO_MANY else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case, servers))
