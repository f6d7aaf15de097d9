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

from ryelock.consensus import Consensus, ConsensusSettings, Entry
from ryelock.consensus.compaction import Compaction
from ryelock.consensus.entries import EntryKind
from ryelock.consensus.followers import Follower
from ryelock.consensus.state import Role
from ryelock.control_plane.configuration_updates import ConfigurationUpdates
from ryelock.events import RecordingLog
from ryelock.journal import Journal, LocalFolder, open_journal
from ryelock.replicated_state import ReplicatedState, encode_command
from ryelock.rpc import Message, RpcClients, encode_frame
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
    return encode_command("change", id=f"c{number}", change=change)


def make_consensus(disk: str, folder: str, reactor: Reactor) -> Consensus:
    """A consensus group that is never started: messages are carried by hand."""
    log = RecordingLog(disk)
    journal = open_journal(LocalFolder(folder), log, SEGMENT_BYTES)
    if journal.is_error():
        raise journal.error
    scheduler: Scheduler = reactor.scheduler
    network: Network = reactor
    return Consensus(
        scheduler,
        RpcClients(scheduler, network, log),
        log,
        journal.ok,
        ReplicatedState(),
        disk,
        disk,
        f"{disk}:1",
        (),
        ConsensusSettings(),
        Random(1),
    )


def make_leader(folder: str, reactor: Reactor, changes: int, routes: int) -> Consensus:
    """A leader that has applied so many changes and no image of them."""
    leader = make_consensus("leader", folder, reactor)
    leader.applier.compaction = NoCompaction(0, 0)
    leader.replicated_log.save_vote(1, "leader")
    for first in range(0, changes, BATCH):
        numbers = range(first, min(first + BATCH, changes))
        words = [
            Entry(number + 1, 1, EntryKind.COMMAND, whole_change(number, routes))
            for number in numbers
        ]
        leader.replicated_log.append(words)
    leader.state.commit_index = changes
    apply_all(leader)
    replicated_state = leader.state_machine
    if not isinstance(replicated_state, ReplicatedState) or replicated_state.version != changes:
        raise ValueError("not all changes were taken")
    leader.state.role = Role.LEADER
    return leader


def apply_all(consensus: Consensus) -> None:
    """Apply everything that is committed."""
    while consensus.applied_index < consensus.commit_index:
        consensus.applier.apply_committed()


def catch_up(leader: Consensus, follower: Consensus) -> tuple[int, int]:
    """Messages and bytes until an empty follower has applied all that the leader has."""
    follower_state = Follower("follower", "follower:1", 1, leader.scheduler)
    messages = size = 0
    while follower.applied_index < leader.commit_index:
        if messages > ROUNDS_MOST:
            raise ValueError("the follower does not catch up")
        sent = encode_frame(leader.replicator.next_message(follower_state))
        message = cbor2.loads(sent[4:])
        replies: list[Message] = []
        follower.handle(message, replies.append)
        answer = encode_frame(replies[0])
        leader.replicator.on_reply(
            follower_state, leader.term, leader.scheduler.now(), Ok(cbor2.loads(answer[4:]))
        )
        apply_all(follower)
        messages += 1
        size += len(sent) + len(answer)
    return messages, size


def follower_figures(leader: Consensus, reactor: Reactor, way: str) -> Figures:
    """One empty follower's catch-up: times and bytes, then its memory in another run."""
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        follower = make_consensus("follower", folder, reactor)
        started, clock = time.process_time(), time.monotonic()
        messages, size = catch_up(leader, follower)
        processor, passed = time.process_time() - started, time.monotonic() - clock
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        follower = make_consensus("follower", folder, reactor)
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
    assert isinstance(leader.state_machine, ReplicatedState)
    updates = ConfigurationUpdates(leader, leader.state_machine)
    words = leader.commands_since(1) or []
    answer = updates.update_since(1).to_wire()
    edge = ReplicatedState()
    started = time.process_time()
    snapshot = answer.get("image")
    if isinstance(snapshot, bytes):
        edge.restore(snapshot)
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
        figures = {
            "KB of journal": leader.replicated_log.journal.replay_bytes / 1e3,
            **edge_figures(leader),
        }
        figures.update(follower_figures(leader, reactor, "entries"))
        leader.applier.write_snapshot()
        figures["KB of image"] = leader.replicated_log.journal.snapshot_bytes / 1e3
        figures.update(follower_figures(leader, reactor, "image"))
    return figures
