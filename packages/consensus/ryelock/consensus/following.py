"""A follower's part: heartbeats, entries and images from the leader."""

from ryelock.consensus.entries import (
    Snapshot,
    entry_of,
)
from ryelock.consensus.messages import listed, whole
from ryelock.consensus.replication import Replication
from ryelock.consensus.transfer import (
    IncomingImage,
    piece_of,
)
from ryelock.events import (
    BECAME_FOLLOWER,
    SNAPSHOT_INSTALLED,
)
from ryelock.rpc import Message


class Following(Replication):
    """Follows a leader of this epoch or a later one."""

    __slots__ = ()

    def answer_to_leader(self, message: Message, epoch: int) -> tuple[Message, bool]:
        """How far this log reaches, and whether a leader of that epoch may be followed now."""
        answer: Message = {
            "disk": self.disk,
            "epoch": self.term,
            "ok": False,
            "last": self.last_index,
        }
        if message["to"] != self.disk:
            return {**answer, "stranger": True}, False
        if self.scheduler.now() < self.promised:
            return {**answer, "promised": True}, False
        return answer, epoch >= self.term

    def follow(self, epoch: int, leader: str, address: str) -> bool:
        if epoch > self.term and not self.save_vote(epoch, ""):
            return False
        if self.role == "leader":
            self.drop_leading("another leads")
        self.role = "follower"
        if self.promise_noted:
            self.replicated_log.save_promise(False)
        if leader != self.leader:
            self.log.write(BECAME_FOLLOWER, leader=leader, epoch=epoch)
        self.leader = leader
        self.leader_address = address
        self.leader_heard = self.scheduler.now()
        self.put_off_election()
        return True

    def on_heartbeat(self, message: Message) -> Message:
        epoch = whole(message["epoch"])
        answer, follows = self.answer_to_leader(message, epoch)
        if not follows:
            return answer
        if not self.follow(epoch, str(message["disk"]), str(message["address"])):
            return answer
        answer["epoch"] = self.term
        previous = whole(message["previous"])
        if previous > self.last_index:
            return {**answer, "last": self.last_index}
        if previous < self.snapshot.index:
            return {**answer, "last": self.snapshot.index, "agreed": True}
        if not self.replicated_log.holds(previous, whole(message["previous_epoch"])):
            return {**answer, **self.conflict_at(previous)}
        entries = [entry_of(plain) for plain in listed(message["entries"])]
        if not self.store(entries):
            return {**answer, "failed": True}
        self.incoming = None
        reached = previous + len(entries)
        self.advance(min(whole(message["commit"]), reached))
        said = message.get("said")
        if isinstance(said, dict):
            self.hear(str(message["disk"]), said, None)
        return {**answer, "ok": True, "last": reached, "said": self.say()}

    def conflict_at(self, index: int) -> Message:
        """What a leader needs to pass by all entries of the epoch that differs at an index."""
        first = self.replicated_log.first_index_of_term_at(index)
        return {"last": first - 1, "conflict": self.term_at(index)}

    def on_snapshot(self, message: Message) -> Message:
        epoch = whole(message["epoch"])
        answer, follows = self.answer_to_leader(message, epoch)
        if not follows:
            return answer
        piece = piece_of(message["piece"])
        leader = str(message["disk"])
        if not self.follow(epoch, leader, str(message["address"])):
            return answer
        answer["epoch"] = self.term
        if piece.index <= self.commit_index:
            self.incoming = None
            return {**answer, "ok": True, "last": self.commit_index}
        if self.incoming is None or not self.incoming.belongs(leader, piece):
            self.incoming = IncomingImage(leader, piece)
        self.incoming.take(piece)
        if not self.incoming.whole:
            return {**answer, "received": len(self.incoming.buffer)}
        snapshot, self.incoming = self.incoming.snapshot(), None
        if not self.install(snapshot, leader):
            return {**answer, "received": 0}
        return {**answer, "ok": True, "last": snapshot.index}

    def install(self, snapshot: Snapshot, source: str) -> bool:
        """Take a whole image that reaches beyond what is known to be agreed."""
        if not self.replicated_log.install(snapshot):
            return False
        self.commit_index = self.applied_index = snapshot.index
        self.applied_command_index = snapshot.command_index
        self.find_voters()
        self.state_machine.restore(snapshot.state)
        self.log.write(SNAPSHOT_INSTALLED, index=snapshot.index, source=source)
        self.tell_applied()
        return True
