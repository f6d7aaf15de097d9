"""The leader's part: lead an epoch, carry the log to every peer, count what is agreed.

An answer to a heartbeat proves that the peer still followed when the heartbeat was sent; the time
of the newest one that a majority answered (`held_since`) is what leases and confirmed reads rest
on.
"""

from collections.abc import Collection

from expression import Error, Result

from ryelock.consensus.applying import Applying
from ryelock.consensus.entries import (
    NOTHING,
    Entry,
)
from ryelock.consensus.log import ENTRY_OVERHEAD_BYTES
from ryelock.consensus.transfer import (
    SNAPSHOT_PIECE_BYTES,
    OutgoingImage,
)
from ryelock.consensus.types import BATCH_BYTES, BATCH_BYTES_LEAST, Command, ConsensusError, Peer
from ryelock.events import (
    BECAME_LEADER,
)
from ryelock.rpc import Message, RpcError

SNAPSHOT_PIECE_SECONDS = 2.0
"""How long a leader waits for the answer to one piece of an image."""
WHO_SECONDS = 0.5


class Replication(Applying):
    """Leads, and carries log and images to the peers."""

    __slots__ = ()

    def lead(self, epoch: int) -> None:
        if self.term != epoch or self.role != "candidate":
            return
        self.role = "leader"
        self.leader = self.disk
        self.leader_address = self.address
        self.elected_at = self.scheduler.now()
        self.learners = {}
        self.released = {}
        self.log.write(BECAME_LEADER, epoch=epoch)
        entry = Entry(self.last_index + 1, epoch, NOTHING, b"")
        if not self.store([entry]):
            self.disk_failed_at = self.scheduler.now()
            self.drop_leading("its disk failed")
            return
        for disk, address in self.voters.items():
            if disk != self.disk:
                self.add_peer(disk, address)
        self.count_commit()

    def drop_leading(self, reason: str) -> None:
        if self.role != "leader":
            return
        self.role = "follower"
        self.leader = ""
        self.leader_address = ""
        for peer in self.peers.values():
            if peer.running is not None:
                peer.running.cancel()
        self.peers = {}
        for _, box in self.waiting.values():
            box.put(Error(ConsensusError(f"leadership was lost midway: {reason}", False)))
        self.waiting = {}
        self.put_off_election()

    def see_epoch(self, epoch: int) -> None:
        """A higher epoch was seen: this node leads no more."""
        if epoch > self.term:
            if self.role == "leader":
                self.drop_leading("a higher epoch")
            self.role = "follower"
            self.save_vote(epoch, "")

    def best_successor(self, besides: Collection[str] = ()) -> str:
        """The voter with the longest log among those heard lately; empty where there is none."""
        now = self.scheduler.now()
        found = [
            (peer.match_index, disk)
            for disk, peer in self.peers.items()
            if disk in self.voters
            and disk not in besides
            and now - peer.heard < self.settings.election_timeout
        ]
        return max(found)[1] if found else ""

    def pass_leading_on(self, reason: str) -> None:
        """Lead no longer, and ask the voter with the longest log to stand at once."""
        successor = self.peers.get(self.best_successor())
        epoch = self.term
        self.drop_leading(reason)
        if successor is not None:
            self.scheduler.create_task(
                self.name_successor(successor.address, epoch), name="consensus takeover"
            )

    async def name_successor(self, address: str, epoch: int) -> None:
        message: Message = {"kind": "council.takeover", "epoch": epoch}
        await self.rpc_clients.call(address, message, WHO_SECONDS)

    def add_peer(self, disk: str, address: str) -> None:
        peer = Peer(disk, address, self.last_index + 1, self.scheduler)
        self.peers[disk] = peer
        peer.running = self.scheduler.create_task(
            self.carry(peer, self.term), name=f"consensus to {address}"
        )

    def follow_voters(self) -> None:
        """Carry the log to every voter, also one that was added just now."""
        for disk, address in self.voters.items():
            if disk != self.disk and disk not in self.peers:
                self.add_peer(disk, address)

    def drop_learner(self, disk: str) -> None:
        """Forget a disk that is no voter and asks no more."""
        self.learners.pop(disk, None)
        if disk not in self.voters:
            self.drop_peer(disk)

    def drop_peer(self, disk: str) -> None:
        peer = self.peers.pop(disk, None)
        if peer is not None and peer.running is not None:
            peer.running.cancel()

    async def carry(self, peer: Peer, epoch: int) -> None:
        """One peer's task: beat, carry entries or an image, hand what comes back to the owner."""
        while self.role == "leader" and self.term == epoch:
            sent = self.scheduler.now()
            message = self.next_message(peer)
            seconds = (
                self.settings.election_timeout if peer.outgoing is None else SNAPSHOT_PIECE_SECONDS
            )
            found = await self.rpc_clients.call(peer.address, message, seconds)
            self.commands.put(
                Command(
                    lambda found=found, sent=sent: (  # type: ignore[misc]
                        self.heard_peer(peer, epoch, sent, found)
                    )
                )
            )
            peer.news.items.clear()
            await peer.news.get(self.settings.heartbeat_seconds)

    def message_to(self, peer: Peer, kind: str) -> Message:
        return {
            "kind": kind,
            "to": peer.disk,
            "disk": self.disk,
            "address": self.address,
            "epoch": self.term,
        }

    def next_message(self, peer: Peer) -> Message:
        """What a peer needs next: entries, or an image where they are not kept any more.

        An image that has begun to cross is finished, also when a newer one was written since.
        """
        if peer.outgoing is None and not self.replicated_log.reaches_back(peer.next_index - 1):
            peer.outgoing = OutgoingImage(self.snapshot)
        if peer.outgoing is None:
            return self.heartbeat_message(peer)
        piece = peer.outgoing.next_piece(min(SNAPSHOT_PIECE_BYTES, peer.batch_bytes))
        return {**self.message_to(peer, "council.image"), "piece": piece.plain()}

    def heartbeat_message(self, peer: Peer) -> Message:
        """A heartbeat with as many entries as the peer takes in time."""
        return {
            **self.message_to(peer, "council.beat"),
            "previous": peer.next_index - 1,
            "previous_epoch": self.term_at(peer.next_index - 1),
            "entries": self.batch(peer.next_index, peer.batch_bytes),
            "commit": self.commit_index,
            "said": self.say(),
        }

    def batch(self, start: int, most: int) -> list[object]:
        """Entries from an index on, at least one if there is any, of about so many bytes."""
        found: list[object] = []
        size = 0
        for index in range(start, self.last_index + 1):
            entry = self.entry_at(index)
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if found and size > most:
                break
            found.append(entry.plain())
        return found

    def heard_peer(
        self, peer: Peer, epoch: int, sent: float, found: Result[Message, RpcError]
    ) -> None:
        if self.role != "leader" or self.term != epoch:
            return
        if found.is_error():
            peer.batch_bytes = max(BATCH_BYTES_LEAST, peer.batch_bytes // 2)
            return
        answer = found.ok
        if answer.get("stranger") is True:
            peer.gone = True
            return
        if answer.get("promised") is True:
            return
        peer.gone = False
        theirs = answer.get("epoch")
        last = answer.get("last")
        if not isinstance(theirs, int) or not isinstance(last, int):
            return
        if theirs > epoch:
            self.see_epoch(theirs)
            return
        if answer.get("ok") is not True:
            if theirs == epoch:
                peer.heard = max(peer.heard, sent)
            if peer.outgoing is not None:
                self.heard_received(peer, answer, sent)
                return
            following = self.next_for(peer, answer, last)
            if following != peer.next_index:
                peer.next_index = following
                peer.news.put(True)
            return
        peer.heard = max(peer.heard, sent)
        peer.outgoing = None
        peer.stored = max(peer.stored, sent)
        peer.batch_bytes = min(BATCH_BYTES, peer.batch_bytes + peer.batch_bytes // 8)
        peer.match_index = max(peer.match_index, last)
        peer.next_index = peer.match_index + 1
        said = answer.get("said")
        if isinstance(said, dict):
            self.hear(peer.disk, said, sent)
        self.count_commit()
        if peer.next_index <= self.last_index:
            peer.news.put(True)

    def heard_received(self, peer: Peer, answer: Message, sent: float) -> None:
        """How much of an image a peer has; go on behind it."""
        received = answer.get("received")
        if peer.outgoing is None or not isinstance(received, int):
            return
        goes_on = received > peer.outgoing.received
        peer.outgoing.received = max(0, min(received, len(peer.outgoing.snapshot.state)))
        if goes_on:
            peer.stored = max(peer.stored, sent)
            peer.batch_bytes = min(BATCH_BYTES, peer.batch_bytes + peer.batch_bytes // 8)
            peer.news.put(True)

    def next_for(self, peer: Peer, answer: Message, last: int) -> int:
        """The index to go on from after a peer declined; `last` is how far its log may agree.

        `failed` tells that its disk took nothing; the logs may well agree.
        `agreed` tells that the peer's image ends there, so all before is the same. A `conflict`
        names the epoch of its entries behind `last`: where this log has a later epoch at the place
        in question, the two agree at most up to its last entry that is not of a later one.
        """
        if answer.get("failed") is True:
            return peer.next_index
        if answer.get("agreed") is True:
            return max(peer.next_index, min(last, self.last_index) + 1)
        conflict = answer.get("conflict")
        if isinstance(conflict, int):
            reaches = self.replicated_log.last_index_of_terms_until(conflict)
            last = reaches if reaches < peer.next_index - 1 else last
        return max(1, min(peer.next_index - 1, last + 1))

    def release(self, disk: str) -> None:
        """A disk may end at any moment: nothing is agreed by its word for a while."""
        self.released[disk] = self.scheduler.now()

    def count_commit(self) -> None:
        released = self.released_disks()
        matches = sorted(
            0 if disk in released else self.match_index_of(disk) for disk in self.voters
        )
        if not matches:
            return
        reached = matches[len(matches) - self.majority]
        if reached > self.commit_index and self.term_at(reached) == self.term:
            self.advance(reached)
            for peer in self.peers.values():
                peer.news.put(True)
