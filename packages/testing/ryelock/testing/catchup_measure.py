"""What it costs a control node and an edge that were away to catch up, by changes and routes.

A real leader and a real follower `Consensus` on folders of their own exchange the very messages of
the wire, encoded and decoded, without a socket: the figures are processor time of both sides, disk
writes and syncs included, and bytes of messages. A link's time comes on top: bytes divided by its
rate. Peak memory is what Python's allocator was asked for at once while the follower caught up,
taken in a run of its own, since tracing slows what it measures.
"""

import tempfile
import time
import tracemalloc
from random import Random

import cbor2
from expression import Ok

from ryelock.consensus import Consensus, Entry, Pace
from ryelock.consensus.compaction import Compaction
from ryelock.consensus.entries import WORD
from ryelock.consensus.types import Peer
from ryelock.control_plane.renewals import Renewals
from ryelock.events import QuietLog
from ryelock.journal import Journal, MachineFolder, open_journal
from ryelock.replicated_state import Register, encode_word
from ryelock.rpc import Lines, encode
from ryelock.runtime import Network, Scheduler
from ryelock.runtime.reactor import Reactor

SEGMENT_BYTES = 4_194_304
ROUNDS_MOST = 100_000
BATCH = 50
"""Entries that the leader writes at once while its log is made."""
Figures = dict[str, float]


class NoCompaction(Compaction):
    """The leader keeps all entries until it is told to write an image."""

    def due(self, _journal: Journal) -> bool:
        """Never; the follower's own images are due as ever."""
        return False


def whole_change(number: int, routes: int) -> bytes:
    """A word that sets every route anew."""
    path = f"/{number}"
    put = {
        "services": {"pages": {"rate": 100}},
        "routes": {
            f"route-{route}": {"path": f"{path}/{route}", "service": "pages"}
            for route in range(routes)
        },
    }
    change = {"id": f"c{number}", "base": number, "version": number + 1, "put": put}
    return encode_word("change", id=f"c{number}", change=change)


def make_council(disk: str, folder: str, reactor: Reactor) -> Consensus:
    """A consensus group that is never started: messages are carried by hand."""
    log = QuietLog(disk)
    journal = open_journal(MachineFolder(folder), log, SEGMENT_BYTES)
    if journal.is_error():
        raise journal.error
    scheduler: Scheduler = reactor.scheduler
    network: Network = reactor
    return Consensus(
        scheduler,
        Lines(scheduler, network, log),
        log,
        journal.ok,
        Register(),
        disk,
        disk,
        f"{disk}:1",
        (),
        Pace(),
        Random(1),
    )


def make_leader(folder: str, reactor: Reactor, changes: int, routes: int) -> Consensus:
    """A leader that has applied so many changes and no image of them."""
    leader = make_council("leader", folder, reactor)
    leader.compaction = NoCompaction(0, 0)
    leader.replicated_log.save_vote(1, "leader")
    for first in range(0, changes, BATCH):
        numbers = range(first, min(first + BATCH, changes))
        words = [Entry(number + 1, 1, WORD, whole_change(number, routes)) for number in numbers]
        leader.replicated_log.append(words)
    leader.commit = changes
    apply_all(leader)
    register = leader.machine
    if not isinstance(register, Register) or register.version != changes:
        raise ValueError("not all changes were taken")
    leader.role = "leader"
    return leader


def apply_all(consensus: Consensus) -> None:
    """Apply everything that is committed."""
    while consensus.applied < consensus.commit:
        consensus.apply_committed()


def catch_up(leader: Consensus, follower: Consensus) -> tuple[int, int]:
    """Messages and bytes until an empty follower has applied all that the leader has."""
    peer = Peer("follower", "follower:1", 1, leader.scheduler)
    messages = size = 0
    while follower.applied < leader.commit:
        if messages > ROUNDS_MOST:
            raise ValueError("the follower does not catch up")
        sent = encode(leader.next_message(peer))
        message = cbor2.loads(sent[4:])
        handler = follower.on_image if message["kind"] == "council.image" else follower.on_beat
        answer = encode(handler(message))
        leader.heard_peer(peer, leader.epoch, leader.scheduler.now(), Ok(cbor2.loads(answer[4:])))
        apply_all(follower)
        messages += 1
        size += len(sent) + len(answer)
    return messages, size


def follower_figures(leader: Consensus, reactor: Reactor, way: str) -> Figures:
    """One empty follower's catch-up: times and bytes, then its memory in another run."""
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        follower = make_council("follower", folder, reactor)
        started, clock = time.process_time(), time.monotonic()
        messages, size = catch_up(leader, follower)
        processor, passed = time.process_time() - started, time.monotonic() - clock
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        follower = make_council("follower", folder, reactor)
        tracemalloc.start()
        catch_up(leader, follower)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    return {
        f"{way}: s until level": passed,
        f"{way}: s of processor, both sides": processor,
        f"{way}: KB": size / 1e3,
        f"{way}: messages": float(messages),
        f"{way}: MB of memory at most": peak / 1e6,
    }


def edge_figures(leader: Consensus) -> Figures:
    """What an edge at the first change is sent, and how long it takes to apply that."""
    renewals = object.__new__(Renewals)
    renewals.consensus = leader
    assert isinstance(leader.machine, Register)
    renewals.register = leader.machine
    renewals.last_edge_image, renewals.last_edge_image_index = b"", 0
    words = leader.words_since(1) or []
    answer = renewals.words({"register": 1})
    edge = Register()
    started = time.process_time()
    image = answer.get("image")
    if isinstance(image, bytes):
        edge.restore(image)
    else:
        for index, data in words:
            edge.apply(index, data)
    return {
        "edge: KB of words": sum(len(data) for _, data in words) / 1e3,
        "edge: KB sent": len(cbor2.dumps(answer)) / 1e3,
        "edge: s of processor to apply": time.process_time() - started,
    }


def measure_catch_up(changes: int, routes: int) -> Figures:
    """All figures at one number of changes that each set so many routes."""

    def fault(task: str, error: BaseException) -> None:
        raise error

    reactor = Reactor(fault)
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        leader = make_leader(folder, reactor, changes, routes)
        figures = {"KB of journal": leader.journal.replay_bytes / 1e3, **edge_figures(leader)}
        figures.update(follower_figures(leader, reactor, "entries"))
        leader.write_image()
        figures["KB of image"] = leader.journal.image_bytes / 1e3
        figures.update(follower_figures(leader, reactor, "image"))
    return figures
