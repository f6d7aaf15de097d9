"""One control node's seat in the council: owner task, peer tasks, elections, images.

The leader of an epoch is elected by a majority that persisted its vote. It beats to every
peer; an answer to a beat proves that the peer still followed when the beat was sent, and the
time of the newest beat that a majority answered (`held_since`) is what terms and confirmed
reads rest on. Where there is no leader and none can be had, a voter may promise to join none
for a while (`council.promise`), so that edges can go on: see docs/design.md, terms.

A voter that promised notes so on disk before its first promise, and after a restart joins
nobody for one promise's length.
"""

from collections import Counter
from collections.abc import Callable, Collection
from random import Random
from typing import Protocol

import cbor2
from expression import Error, Ok, Result

from ryelock.council.compaction import Compaction
from ryelock.council.entries import (
    NOTE,
    NOTHING,
    VOTERS,
    WORD,
    Entry,
    Image,
    Voters,
    entry_of,
    majority_of,
    voters_of,
)
from ryelock.council.log import ENTRY_OVERHEAD_BYTES, ReplicatedLog
from ryelock.council.membership import VOTERS_MOST
from ryelock.council.transfer import (
    IMAGE_PIECE_BYTES,
    IncomingImage,
    OutgoingImage,
    piece_of,
)
from ryelock.events import (
    FOLLOWING,
    FOUNDED,
    IMAGE_TAKEN,
    IMAGE_WRITTEN,
    LEADERLESS,
    LEADING,
    VOTERS_CHANGED,
    Log,
)
from ryelock.journal import Journal
from ryelock.loop import Mailbox, Running, Scheduler, Step
from ryelock.wire import Lines, Message, Reply, WireError

BATCH_BYTES = 1_048_576
"""The most bytes of entries in one heartbeat; halved for a peer that is late, then grown again."""
BATCH_BYTES_LEAST = 16_384
IMAGE_PIECE_SECONDS = 2.0
"""How long a leader waits for the answer to one piece of an image."""
APPLY_ENTRIES = 64
"""The most entries applied before the owner looks at its queue again."""
APPLY_SECONDS = 0.02
"""The longest that entries are applied before it, but for the last of them."""
APPLY_PAUSE_SECONDS = 0.0005
"""What the other tasks of the process get between two such batches."""
WHO_SECONDS = 0.5
RELEASED_SECONDS = 3.0
"""What a disk stored counts again so long after it was told that it may end."""
DISK_RETRY_SECONDS = 2.0
"""A node whose disk refused a write stands for no election for so long."""


class CouncilError(Exception):
    """A word was not taken; certain says whether that is beyond doubt."""

    def __init__(self, reason: str, certain: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.certain = certain


class Machine(Protocol):
    """The state that words change; must come to the same on every node."""

    def apply(self, index: int, data: bytes) -> object:
        """The outcome; a map in which `again` is True says that nothing was changed by it."""
        ...

    def image(self) -> bytes: ...
    def restore(self, data: bytes) -> None: ...


class Pace:
    """How fast a council beats, elects, replaces and writes images; whether it may be founded."""

    __slots__ = (
        "beat",
        "disk_bytes",
        "election",
        "image_records",
        "may_found",
        "promise",
        "replace",
    )

    def __init__(
        self,
        beat: float = 0.15,
        election: float = 0.7,
        promise: float = 1.5,
        replace: float = 8.0,
        image_records: int = 4000,
        may_found: bool = True,
        disk_bytes: int = 0,
    ) -> None:
        self.beat = beat
        self.election = election
        self.promise = promise
        self.replace = replace
        self.image_records = image_records
        self.may_found = may_found
        self.disk_bytes = disk_bytes


class Peer:
    """Another disk as the leader sees it."""

    __slots__ = (
        "address",
        "batch_bytes",
        "disk",
        "gone",
        "heard",
        "match",
        "news",
        "next",
        "outgoing",
        "running",
        "stored",
    )

    def __init__(self, disk: str, address: str, following: int, scheduler: Scheduler) -> None:
        self.disk = disk
        self.address = address
        self.next = following
        self.match = 0
        self.batch_bytes = BATCH_BYTES
        self.outgoing: OutgoingImage | None = None
        self.heard = -1e9
        self.stored = -1e9
        self.gone = False
        self.news: Mailbox[bool] = Mailbox(scheduler)
        self.running: Running | None = None


class Command:
    """One entry of the owner's queue."""

    __slots__ = ("act",)

    def __init__(self, act: Callable[[], None]) -> None:
        self.act = act


class Proposal:
    __slots__ = ("box", "data", "kind")

    def __init__(self, kind: str, data: bytes, box: "Mailbox[Outcome]") -> None:
        self.kind = kind
        self.data = data
        self.box = box


Outcome = Result[object, CouncilError]
Said = Callable[[], Message]
Hears = Callable[[str, Message, float | None], None]


class Council:
    __slots__ = (
        "address",
        "applied",
        "applied_news",
        "applied_word",
        "commands",
        "commit",
        "compaction",
        "disk",
        "disk_failed_at",
        "elected_at",
        "election_at",
        "hear",
        "incoming",
        "last_round_failed",
        "leader",
        "leader_address",
        "leader_heard",
        "learners",
        "leaving",
        "lines",
        "log",
        "machine",
        "name",
        "pace",
        "peers",
        "promised",
        "random",
        "reach_at",
        "released",
        "replicated_log",
        "role",
        "say",
        "scheduler",
        "seeds",
        "settled_at",
        "tasks",
        "tries",
        "voters",
        "waiting",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        lines: Lines,
        log: Log,
        journal: Journal,
        machine: Machine,
        name: str,
        disk: str,
        address: str,
        seeds: tuple[str, ...],
        pace: Pace,
        random: Random,
    ) -> None:
        self.scheduler = scheduler
        self.lines = lines
        self.log = log
        self.replicated_log = ReplicatedLog(journal)
        self.incoming: IncomingImage | None = None
        self.compaction = Compaction(pace.image_records, pace.disk_bytes)
        self.machine = machine
        self.name = name
        self.disk = disk
        self.address = address
        self.seeds = seeds
        self.pace = pace
        self.random = random
        self.commands: Mailbox[Command | Proposal] = Mailbox(scheduler)
        self.applied_news: list[Callable[[], None]] = []
        self.role = "follower"
        self.leader = ""
        self.leader_address = ""
        self.leader_heard = -1e9
        self.elected_at = -1e9
        self.settled_at = -1e9
        self.election_at = 0.0
        self.last_round_failed = -1e9
        self.reach_at = -1e9
        self.disk_failed_at = -1e9
        self.leaving = False
        self.released: dict[str, float] = {}
        self.tries = 0
        self.peers: dict[str, Peer] = {}
        self.learners: dict[str, tuple[str, float]] = {}
        self.waiting: dict[int, tuple[int, Mailbox[Outcome]]] = {}
        self.tasks: list[Running] = []
        self.say: Said = dict
        self.hear: Hears = lambda _disk, _message, _since: None
        self.commit = self.base.index
        self.applied = self.base.index
        self.applied_word = self.base.word
        self.voters: Voters = {}
        self.find_voters()
        if self.base.index:
            machine.restore(self.base.machine)
        self.promised = scheduler.now() + pace.promise * 1.1 if self.promise_noted else -1e9
        self.put_off_election()

    # The log.

    @property
    def journal(self) -> Journal:
        return self.replicated_log.journal

    @property
    def base(self) -> Image:
        """The image that the entries follow."""
        return self.replicated_log.image

    @property
    def entries(self) -> list[Entry]:
        return self.replicated_log.entries

    @property
    def epoch(self) -> int:
        return self.replicated_log.epoch

    @property
    def voted(self) -> str:
        return self.replicated_log.voted

    @property
    def promise_noted(self) -> bool:
        return self.replicated_log.promise_noted

    @property
    def last_index(self) -> int:
        return self.replicated_log.last_index

    def epoch_at(self, index: int) -> int:
        return self.replicated_log.epoch_at(index)

    def entry_at(self, index: int) -> Entry:
        return self.replicated_log.entry_at(index)

    def find_voters(self) -> None:
        self.voters = self.replicated_log.voters_at(self.last_index)

    @property
    def majority(self) -> int:
        return majority_of(len(self.voters))

    @property
    def empty(self) -> bool:
        return self.replicated_log.empty

    def words_since(self, index: int) -> list[tuple[int, bytes]] | None:
        """Applied words behind an index, or None where only an image can tell."""
        if index + 1 < self.replicated_log.retained_from or index > self.applied:
            return None
        return self.replicated_log.words_between(index, self.applied)

    def last_word(self) -> int:
        """The index of the log's last word, applied or not; notes are passed by."""
        return self.replicated_log.last_word()

    # Running.

    def start(self) -> None:
        self.tasks.append(self.scheduler.spawn("council", self.work()))
        self.tasks.append(self.scheduler.spawn("council joins", self.join()))

    def stop(self) -> None:
        self.drop_leading("stopping")
        for running in self.tasks:
            running.cancel()

    def work(self) -> Step[None]:
        """The owner: every change of this seat happens here, in turn."""
        while True:
            behind = self.applied < self.commit
            command = yield from self.commands.take(0.0 if behind else self.pace.beat / 2)
            proposals: list[Proposal] = []
            while command is not None:
                if isinstance(command, Proposal):
                    proposals.append(command)
                else:
                    if proposals:
                        self.take_proposals(proposals)
                        proposals = []
                    command.act()
                command = self.commands.items.popleft() if self.commands.items else None
            if proposals:
                self.take_proposals(proposals)
            self.apply_committed()
            self.look_at_clock()
            if self.applied < self.commit:
                yield from self.scheduler.pause(APPLY_PAUSE_SECONDS)

    def look_at_clock(self) -> None:
        now = self.scheduler.now()
        if self.role == "leader":
            if now - max(self.held_since(), self.elected_at) > self.pace.election * 1.5:
                self.log.write(LEADERLESS, epoch=self.epoch)
                self.drop_leading("lost its majority")
            elif self.settled and not self.changing_voters and self.disk not in self.voters:
                self.pass_leading_on("no voter any more")
            return
        if not self.may_stand:
            return
        pace = self.pace.election
        if now - self.leader_heard > 0.5 * pace and now - self.reach_at > 0.6 * pace:
            self.reach_at = now
            self.scheduler.spawn("council reach", self.reach())
        if now < self.election_at or now < self.disk_failed_at + DISK_RETRY_SECONDS:
            return
        if self.leaving:
            return
        self.put_off_election()
        self.tries += 1
        self.scheduler.spawn("council election", self.campaign(self.tries, True))

    @property
    def may_stand(self) -> bool:
        """Whether this disk may be elected: a voter, or one whose removal is not agreed yet.

        The latter may be the only one with a log that is long enough. It does not count itself,
        and steps down once its removal is agreed.
        """
        if self.disk in self.voters:
            return True
        return self.disk in self.replicated_log.voters_at(self.commit)

    def put_off_election(self) -> None:
        """Wait for a while of chance; less in a life in which no leader was heard of yet.

        After a restart of all nobody leads, and a trial round disturbs nobody who does.
        """
        if self.leader_heard < -1e8:
            spread = self.pace.election * (0.1 + 0.5 * self.random.random())
        else:
            spread = self.pace.election * (1 + 0.7 * self.random.random())
        self.election_at = self.scheduler.now() + spread

    def knows_leader(self) -> bool:
        return (
            self.role == "leader" or self.scheduler.now() - self.leader_heard < self.pace.election
        )

    # Asks from other processes.

    def answer(self, message: Message, reply: Reply) -> bool:
        """Take an ask into the queue; False when it is not for the council."""
        handlers: dict[str, Callable[[Message], Message]] = {
            "council.who": self.on_who,
            "council.beat": self.on_beat,
            "council.vote": self.on_vote,
            "council.image": self.on_image,
            "council.join": self.on_join,
            "council.promise": self.on_promise,
            "council.takeover": self.on_takeover,
        }
        handler = handlers.get(str(message.get("kind")))
        if handler is None:
            return False

        def act() -> None:
            try:
                reply(handler(message))
            except (KeyError, TypeError, ValueError) as error:
                reply({"fault": f"malformed: {error!r}"})

        self.commands.put(Command(act))
        return True

    def on_who(self, _: Message) -> Message:
        known = self.knows_leader()
        return {
            "disk": self.disk,
            "empty": self.empty,
            "epoch": self.epoch,
            "leader": self.leader if known else "",
            "leader_address": self.leader_address if known else "",
            "voters": self.voters,
            "name": self.name,
            "applied": self.applied,
        }

    def save_vote(self, epoch: int, voted: str) -> bool:
        saved = self.replicated_log.save_vote(epoch, voted)
        if not saved:
            self.disk_failed_at = self.scheduler.now()
        return saved

    def on_vote(self, message: Message) -> Message:
        epoch = whole(message["epoch"])
        trial = message["trial"] is True
        last = (whole(message["last_epoch"]), whole(message["last_index"]))
        answer: Message = {"disk": self.disk, "epoch": self.epoch, "granted": False}
        if message["to"] != self.disk:
            return {**answer, "stranger": True}
        now = self.scheduler.now()
        handed = message.get("handed") is True
        if now < self.promised or (self.knows_leader() and not handed and epoch >= self.epoch):
            return answer
        mine = (self.epoch_at(self.last_index), self.last_index)
        if last < mine or epoch < self.epoch:
            return answer
        candidate = str(message["disk"])
        if trial:
            return {**answer, "granted": epoch > self.epoch}
        if epoch == self.epoch and self.voted not in ("", candidate):
            return answer
        if self.role == "leader":
            self.drop_leading("another election")
        if not self.save_vote(epoch, candidate):
            return answer
        self.put_off_election()
        return {**answer, "epoch": self.epoch, "granted": True}

    def see_epoch(self, epoch: int) -> None:
        """A higher epoch was seen: this node leads no more."""
        if epoch > self.epoch:
            if self.role == "leader":
                self.drop_leading("a higher epoch")
            self.role = "follower"
            self.save_vote(epoch, "")

    def answer_to_leader(self, message: Message, epoch: int) -> tuple[Message, bool]:
        """How far this log reaches, and whether a leader of that epoch may be followed now."""
        answer: Message = {
            "disk": self.disk,
            "epoch": self.epoch,
            "ok": False,
            "last": self.last_index,
        }
        if message["to"] != self.disk:
            return {**answer, "stranger": True}, False
        if self.scheduler.now() < self.promised:
            return {**answer, "promised": True}, False
        return answer, epoch >= self.epoch

    def on_beat(self, message: Message) -> Message:
        epoch = whole(message["epoch"])
        answer, follows = self.answer_to_leader(message, epoch)
        if not follows:
            return answer
        if not self.follow(epoch, str(message["disk"]), str(message["address"])):
            return answer
        answer["epoch"] = self.epoch
        previous = whole(message["previous"])
        if previous > self.last_index:
            return {**answer, "last": self.last_index}
        if previous < self.base.index:
            return {**answer, "last": self.base.index, "agreed": True}
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
        first = self.replicated_log.first_of_epoch_at(index)
        return {"last": first - 1, "conflict": self.epoch_at(index)}

    def follow(self, epoch: int, leader: str, address: str) -> bool:
        if epoch > self.epoch and not self.save_vote(epoch, ""):
            return False
        if self.role == "leader":
            self.drop_leading("another leads")
        self.role = "follower"
        if self.promise_noted:
            self.replicated_log.save_promise(False)
        if leader != self.leader:
            self.log.write(FOLLOWING, leader=leader, epoch=epoch)
        self.leader = leader
        self.leader_address = address
        self.leader_heard = self.scheduler.now()
        self.put_off_election()
        return True

    def store(self, entries: list[Entry]) -> bool:
        """Write the entries this log lacks; one that differs replaces the tail."""
        if not self.replicated_log.append(entries) and not self.append_after_compaction(entries):
            return False
        before = self.voters
        self.find_voters()
        if before != self.voters:
            self.log.write(VOTERS_CHANGED, voters=sorted(self.voters.values()))
        return True

    def append_after_compaction(self, entries: list[Entry]) -> bool:
        """Where the disk took no more, an image may make room."""
        if not self.compaction.due(self.journal):
            return False
        self.write_image()
        return self.replicated_log.append(entries)

    def on_image(self, message: Message) -> Message:
        epoch = whole(message["epoch"])
        answer, follows = self.answer_to_leader(message, epoch)
        if not follows:
            return answer
        piece = piece_of(message["piece"])
        leader = str(message["disk"])
        if not self.follow(epoch, leader, str(message["address"])):
            return answer
        answer["epoch"] = self.epoch
        if piece.index <= self.commit:
            self.incoming = None
            return {**answer, "ok": True, "last": self.commit}
        if self.incoming is None or not self.incoming.belongs(leader, piece):
            self.incoming = IncomingImage(leader, piece)
        self.incoming.take(piece)
        if not self.incoming.whole:
            return {**answer, "received": len(self.incoming.buffer)}
        image, self.incoming = self.incoming.image(), None
        if not self.install(image, leader):
            return {**answer, "received": 0}
        return {**answer, "ok": True, "last": image.index}

    def install(self, image: Image, source: str) -> bool:
        """Take a whole image that reaches beyond what is known to be agreed."""
        if not self.replicated_log.install(image):
            return False
        self.commit = self.applied = image.index
        self.applied_word = image.word
        self.find_voters()
        self.machine.restore(image.machine)
        self.log.write(IMAGE_TAKEN, index=image.index, source=source)
        self.tell_applied()
        return True

    def on_join(self, message: Message) -> Message:
        disk = str(message["disk"])
        if self.role == "leader" and disk != self.disk:
            self.learners[disk] = (str(message["address"]), self.scheduler.now())
            if disk not in self.peers:
                self.add_peer(disk, str(message["address"]))
        return self.on_who(message)

    def on_promise(self, message: Message) -> Message:
        """Join no leader for so long; granted only where no leader can be had."""
        seconds = message["seconds"]
        now = self.scheduler.now()
        granted = (
            self.disk in self.voters
            and not self.knows_leader()
            and isinstance(seconds, float)
            and 0 < seconds <= self.pace.promise
            and now - self.last_round_failed < 3 * self.pace.election
        )
        if granted and not self.promise_noted:
            granted = self.replicated_log.save_promise(True)
        if granted:
            self.promised = max(self.promised, now + float(str(seconds)))
        return {
            "granted": granted,
            "disk": self.disk,
            "voters": sorted(self.voters),
            "last": self.last_word(),
            "configuration": list(self.replicated_log.configuration_place()),
        }

    def on_takeover(self, message: Message) -> Message:
        """The leader names this node its successor."""
        if whole(message["epoch"]) != self.epoch or not self.may_stand:
            return {"ok": False}
        self.tries += 1
        self.scheduler.spawn("council election", self.campaign(self.tries, False))
        return {"ok": True}

    # Elections.

    def reach(self) -> Step[None]:
        """Find out early whether a majority of voters can be reached at all.

        Waiting for an election to fail takes longer than an edge's term lasts, and a share
        that lapsed cannot be taken up again; so a voter that hears no leader asks round first.
        """
        voters = dict(self.voters)
        box: Mailbox[tuple[bool, bool]] = Mailbox(self.scheduler)
        for disk, address in voters.items():
            if disk != self.disk:
                self.scheduler.spawn(
                    "council reach",
                    self.ask_vote(address, {"kind": "council.who"}, 0.3 * self.pace.election, box),
                )
        answers = 1
        for _ in range(len(voters) - 1):
            found = yield from box.take(0.4 * self.pace.election)
            answers += found is not None and found[1]
        reached = answers >= majority_of(len(voters))
        self.last_round_failed = -1e9 if reached else self.scheduler.now()

    def campaign(self, ticket: int, trial: bool) -> Step[None]:
        """Ask for votes; first for a trial, which disturbs nobody."""
        if trial:
            won, reached = yield from self.gather_votes(self.epoch + 1, True, False)
            if ticket != self.tries or self.role == "leader":
                return
            self.last_round_failed = -1e9 if reached else self.scheduler.now()
            if not won:
                return
            if self.scheduler.now() < self.promised or self.knows_leader():
                return
        if self.role == "leader":
            return
        epoch = self.epoch + 1
        if not self.save_vote(epoch, self.disk):
            return
        self.role = "candidate"
        self.put_off_election()
        won, _ = yield from self.gather_votes(epoch, False, not trial)
        if ticket != self.tries or self.epoch != epoch or self.role != "candidate":
            return
        if won and self.scheduler.now() >= self.promised:
            self.commands.put(Command(lambda: self.lead(epoch)))
        else:
            self.role = "follower"

    def gather_votes(self, epoch: int, trial: bool, handed: bool) -> Step[tuple[bool, bool]]:
        """Whether a majority granted, and whether a majority answered at all."""
        voters = dict(self.voters)
        if not self.may_stand:
            return False, False
        box: Mailbox[tuple[bool, bool]] = Mailbox(self.scheduler)
        seconds = self.pace.election * 0.8
        for disk, address in voters.items():
            if disk != self.disk:
                message: Message = {
                    "kind": "council.vote",
                    "to": disk,
                    "disk": self.disk,
                    "epoch": epoch,
                    "trial": trial,
                    "handed": handed,
                    "last_index": self.last_index,
                    "last_epoch": self.epoch_at(self.last_index),
                }
                self.scheduler.spawn("council vote", self.ask_vote(address, message, seconds, box))
        own = int(self.disk in voters)
        votes, answers, asked, needed = own, own, own, majority_of(len(voters))
        until = self.scheduler.now() + seconds
        while votes < needed and asked < len(voters):
            found = yield from box.take(max(0.0, until - self.scheduler.now()))
            if found is None:
                break
            asked += 1
            votes += found[0]
            answers += found[1]
        return votes >= needed, answers >= needed

    def ask_vote(
        self, address: str, message: Message, seconds: float, box: Mailbox[tuple[bool, bool]]
    ) -> Step[None]:
        found = yield from self.lines.ask(address, message, seconds)
        if found.is_error():
            box.put((False, False))
            return
        epoch = found.ok.get("epoch")
        if isinstance(epoch, int) and epoch > self.epoch:
            self.commands.put(Command(lambda: self.see_epoch(epoch)))
        box.put((found.ok.get("granted") is True, found.ok.get("stranger") is not True))

    # Leading.

    def lead(self, epoch: int) -> None:
        if self.epoch != epoch or self.role != "candidate":
            return
        self.role = "leader"
        self.leader = self.disk
        self.leader_address = self.address
        self.elected_at = self.scheduler.now()
        self.learners = {}
        self.released = {}
        self.log.write(LEADING, epoch=epoch)
        entry = Entry(self.last_index + 1, epoch, NOTHING, b"")
        if not self.store([entry]):
            self.disk_failed_at = self.scheduler.now()
            self.drop_leading("its disk failed")
            return
        for disk, address in self.voters.items():
            if disk != self.disk:
                self.add_peer(disk, address)
        self.count_commit()

    def add_peer(self, disk: str, address: str) -> None:
        peer = Peer(disk, address, self.last_index + 1, self.scheduler)
        self.peers[disk] = peer
        peer.running = self.scheduler.spawn(f"council to {address}", self.carry(peer, self.epoch))

    def pass_leading_on(self, reason: str) -> None:
        """Lead no longer, and ask the voter with the longest log to stand at once."""
        successor = self.peers.get(self.best_successor())
        epoch = self.epoch
        self.drop_leading(reason)
        if successor is not None:
            self.scheduler.spawn("council takeover", self.name_successor(successor.address, epoch))

    def name_successor(self, address: str, epoch: int) -> Step[None]:
        message: Message = {"kind": "council.takeover", "epoch": epoch}
        yield from self.lines.ask(address, message, WHO_SECONDS)

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
            box.put(Error(CouncilError(f"leadership was lost midway: {reason}", False)))
        self.waiting = {}
        self.put_off_election()

    def carry(self, peer: Peer, epoch: int) -> Step[None]:
        """One peer's task: beat, carry entries or an image, hand what comes back to the owner."""
        while self.role == "leader" and self.epoch == epoch:
            sent = self.scheduler.now()
            message = self.next_message(peer)
            seconds = self.pace.election if peer.outgoing is None else IMAGE_PIECE_SECONDS
            found = yield from self.lines.ask(peer.address, message, seconds)
            self.commands.put(
                Command(
                    lambda found=found, sent=sent: (  # type: ignore[misc]
                        self.heard_peer(peer, epoch, sent, found)
                    )
                )
            )
            peer.news.items.clear()
            yield from peer.news.take(self.pace.beat)

    def message_to(self, peer: Peer, kind: str) -> Message:
        return {
            "kind": kind,
            "to": peer.disk,
            "disk": self.disk,
            "address": self.address,
            "epoch": self.epoch,
        }

    def next_message(self, peer: Peer) -> Message:
        """What a peer needs next: entries, or an image where they are not kept any more.

        An image that has begun to cross is finished, also when a newer one was written since.
        """
        if peer.outgoing is None and not self.replicated_log.reaches_back(peer.next - 1):
            peer.outgoing = OutgoingImage(self.base)
        if peer.outgoing is None:
            return self.beat_message(peer)
        piece = peer.outgoing.next_piece(min(IMAGE_PIECE_BYTES, peer.batch_bytes))
        return {**self.message_to(peer, "council.image"), "piece": piece.plain()}

    def beat_message(self, peer: Peer) -> Message:
        """A heartbeat with as many entries as the peer takes in time."""
        return {
            **self.message_to(peer, "council.beat"),
            "previous": peer.next - 1,
            "previous_epoch": self.epoch_at(peer.next - 1),
            "entries": self.batch(peer.next, peer.batch_bytes),
            "commit": self.commit,
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
        self, peer: Peer, epoch: int, sent: float, found: Result[Message, WireError]
    ) -> None:
        if self.role != "leader" or self.epoch != epoch:
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
            if following != peer.next:
                peer.next = following
                peer.news.put(True)
            return
        peer.heard = max(peer.heard, sent)
        peer.outgoing = None
        peer.stored = max(peer.stored, sent)
        peer.batch_bytes = min(BATCH_BYTES, peer.batch_bytes + peer.batch_bytes // 8)
        peer.match = max(peer.match, last)
        peer.next = peer.match + 1
        said = answer.get("said")
        if isinstance(said, dict):
            self.hear(peer.disk, said, sent)
        self.count_commit()
        if peer.next <= self.last_index:
            peer.news.put(True)

    def heard_received(self, peer: Peer, answer: Message, sent: float) -> None:
        """How much of an image a peer has; go on behind it."""
        received = answer.get("received")
        if peer.outgoing is None or not isinstance(received, int):
            return
        goes_on = received > peer.outgoing.received
        peer.outgoing.received = max(0, min(received, len(peer.outgoing.image.machine)))
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
            return peer.next
        if answer.get("agreed") is True:
            return max(peer.next, min(last, self.last_index) + 1)
        conflict = answer.get("conflict")
        if isinstance(conflict, int):
            reaches = self.replicated_log.last_of_epochs_until(conflict)
            last = reaches if reaches < peer.next - 1 else last
        return max(1, min(peer.next - 1, last + 1))

    def count_commit(self) -> None:
        released = self.released_disks()
        matches = sorted(0 if disk in released else self.match_of(disk) for disk in self.voters)
        if not matches:
            return
        reached = matches[len(matches) - self.majority]
        if reached > self.commit and self.epoch_at(reached) == self.epoch:
            self.advance(reached)
            for peer in self.peers.values():
                peer.news.put(True)

    def advance(self, commit: int) -> None:
        """Entries up to an index are agreed; apply a batch of them, the owner the others."""
        if commit <= self.commit:
            return
        self.commit = commit
        self.apply_committed()

    def apply_committed(self) -> None:
        """Apply agreed entries for a bounded while; `applied` may stay behind `commit`.

        The owner goes on after it has served its queue, so that a long catch-up holds up no
        heartbeat. At least one entry is applied.
        """
        if self.applied == self.commit:
            return
        until = self.scheduler.now() + APPLY_SECONDS
        last = min(self.commit, self.applied + APPLY_ENTRIES)
        while self.applied < last:
            self.apply_entry(self.entry_at(self.applied + 1))
            if self.scheduler.now() >= until:
                break
        if self.role == "leader" and self.settled_at < self.elected_at and self.settled:
            self.settled_at = self.scheduler.now()
        self.tell_applied()
        if self.compaction.due(self.journal):
            self.write_image()

    def apply_entry(self, entry: Entry) -> None:
        """Apply the next entry and answer who proposed it."""
        result: object = None
        if entry.kind in (WORD, NOTE):
            result = self.machine.apply(entry.index, entry.data)
            entry.repeated = isinstance(result, dict) and result.get("again") is True
        self.applied = entry.index
        if entry.kind == WORD:
            self.applied_word = entry.index
        waiting = self.waiting.pop(entry.index, None)
        if waiting is None:
            return
        epoch, box = waiting
        if epoch == entry.epoch:
            box.put(Ok(result))
        else:
            box.put(Error(CouncilError("another word took its place", True)))

    def tell_applied(self) -> None:
        for tell in self.applied_news:
            tell()

    def write_image(self) -> None:
        image = Image(
            self.applied,
            self.epoch_at(self.applied),
            self.replicated_log.voters_at(self.applied),
            self.machine.image(),
            self.applied_word,
        )
        if not self.replicated_log.compact(image):
            self.compaction.failed(self.journal)
        else:
            self.compaction.done()
            self.log.write(IMAGE_WRITTEN, index=image.index)

    def held_since(self) -> float:
        """When the newest beat was sent that a majority has answered."""
        now = self.scheduler.now()
        heard = sorted(
            (now if disk == self.disk else self.peers[disk].heard if disk in self.peers else -1e9)
            for disk in self.voters
        )
        return heard[len(heard) - self.majority] if heard else -1e9

    @property
    def settled(self) -> bool:
        """Leads, and has applied an entry of its own epoch, so all that was agreed before it."""
        return self.role == "leader" and self.epoch_at(self.applied) == self.epoch

    # What the rest of the process calls.

    def propose(self, data: bytes) -> Step[Outcome]:
        """Agree on a word; the result is what applying it came to."""
        return (yield from self.submit(WORD, data, 10.0))

    def note(self, data: bytes) -> Step[Outcome]:
        """Agree on what only the council's own machines keep; `words_since` passes it by."""
        return (yield from self.submit(NOTE, data, 10.0))

    def submit(self, kind: str, data: bytes, seconds: float) -> Step[Outcome]:
        box: Mailbox[Outcome] = Mailbox(self.scheduler)
        self.commands.put(Proposal(kind, data, box))
        outcome = yield from box.take(seconds)
        if outcome is None:
            return Error(CouncilError("no majority answered in time", False))
        return outcome

    def take_proposals(self, proposals: list[Proposal]) -> None:
        """Append what was proposed and have it replicated; the owner's task only."""
        if self.role != "leader":
            for proposal in proposals:
                proposal.box.put(Error(CouncilError("this node does not lead", True)))
            return
        entries: list[Entry] = []
        taken: list[Proposal] = []
        for proposal in proposals:
            if proposal.kind == VOTERS:
                fault = self.fault_of_voters(voters_of(proposal.data), entries)
                if fault:
                    proposal.box.put(Error(CouncilError(fault, True)))
                    continue
            index = self.last_index + 1 + len(entries)
            entries.append(Entry(index, self.epoch, proposal.kind, proposal.data))
            taken.append(proposal)
        if not self.store(entries):
            for proposal in taken:
                # The records may be found on the disk after a restart, so this is not certain.
                proposal.box.put(Error(CouncilError("the leader's disk takes no more", False)))
            self.disk_failed_at = self.scheduler.now()
            self.pass_leading_on("its disk failed")
            return
        for entry, proposal in zip(entries, taken, strict=True):
            self.waiting[entry.index] = (entry.epoch, proposal.box)
        self.follow_voters()
        for peer in self.peers.values():
            peer.news.put(True)
        self.count_commit()

    def fault_of_voters(self, voters: Voters, appended: list[Entry]) -> str:
        """What speaks against a change of voters now; empty where nothing does."""
        if not self.settled or self.changing_voters:
            return "not settled"
        if any(entry.kind == VOTERS for entry in appended):
            return "another change of voters is under way"
        if len(set(voters) ^ set(self.voters)) != 1 or not 0 < len(voters) <= VOTERS_MOST + 1:
            return "not one voter at a time"
        if self.disk not in voters:
            return "a leader does not remove itself"
        return ""

    @property
    def changing_voters(self) -> bool:
        """Whether a change of voters is in the log and not agreed yet."""
        behind = self.entries[self.commit - self.base.index :]
        return any(entry.kind == VOTERS for entry in behind)

    def release(self, disk: str) -> None:
        """A disk may end at any moment: nothing is agreed by its word for a while."""
        self.released[disk] = self.scheduler.now()

    def released_disks(self) -> set[str]:
        """Disks that were told lately that they may end."""
        now = self.scheduler.now()
        return {disk for disk, at in self.released.items() if now - at < RELEASED_SECONDS}

    def match_of(self, disk: str) -> int:
        """The last index that a disk is known to hold, as its leader knows it."""
        if disk == self.disk:
            return self.last_index
        peer = self.peers.get(disk)
        return peer.match if peer is not None else 0

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

    def confirm(self, seconds: float) -> Step[bool]:
        """Whether this node led at a moment after the ask, by a majority's word.

        Its state then has every entry that was agreed when it was asked: a read of it is
        linearizable.
        """
        asked = self.scheduler.now()
        agreed = self.commit
        while self.role == "leader" and self.scheduler.now() < asked + seconds:
            if self.settled and self.applied >= agreed and self.held_since() >= asked:
                return True
            for peer in self.peers.values():
                if not len(peer.news):
                    peer.news.put(True)
            yield from self.scheduler.pause(0.005)
        return False

    def change_voters(self, voters: Voters) -> Step[Outcome]:
        """One voter more or fewer; declined at the append where it is not one at a time."""
        outcome = yield from self.submit(VOTERS, cbor2.dumps(voters), 10.0)
        if outcome.is_ok():
            self.log.write(VOTERS_CHANGED, voters=sorted(voters.values()))
            for disk in list(self.peers):
                if disk not in self.voters and disk not in self.learners:
                    self.drop_peer(disk)
        return outcome

    def hand_over(self, successor: str) -> Step[bool]:
        """Name a successor that has the whole log, and let it be elected."""
        peer = self.peers.get(successor)
        if self.role != "leader" or peer is None or successor not in self.voters:
            return False
        until = self.scheduler.now() + 1.0
        while peer.match < self.last_index and self.scheduler.now() < until:
            yield from self.scheduler.pause(0.01)
        message: Message = {"kind": "council.takeover", "epoch": self.epoch}
        found = yield from self.lines.ask(peer.address, message, 0.5)
        if found.is_error() or found.ok.get("ok") is not True:
            return False
        while self.role == "leader" and self.scheduler.now() < until + 1.0:
            yield from self.scheduler.pause(0.01)
        return self.role != "leader"

    def best_successor(self, besides: Collection[str] = ()) -> str:
        """The voter with the longest log among those heard lately; empty where there is none."""
        now = self.scheduler.now()
        found = [
            (peer.match, disk)
            for disk, peer in self.peers.items()
            if disk in self.voters and disk not in besides and now - peer.heard < self.pace.election
        ]
        return max(found)[1] if found else ""

    # Founding and joining.

    def join(self) -> Step[None]:
        """Until this disk is a voter that hears its leader: found with the other empty seeds, or
        learn. A voter that was away may have been voted out, and nobody beats to it any more."""
        while True:
            if self.disk not in self.voters or not self.knows_leader():
                answers = yield from self.ask_around()
                if self.may_found_with(answers):
                    founders = {
                        str(answers[seed]["disk"]): seed
                        for seed in self.seeds
                        if "disk" in answers[seed]
                    }
                    self.commands.put(Command(lambda voters=founders: self.found(voters)))  # type: ignore[misc]
                else:
                    yield from self.join_leader(answers)
            yield from self.scheduler.pause(0.5 + 0.2 * self.random.random())

    def ask_around(self) -> Step[dict[str, Message]]:
        """What the seeds and the voters known here say of the leader, by address."""
        addresses = {*self.seeds, *self.voters.values(), self.leader_address} - {"", self.address}
        box: Mailbox[tuple[str, Message]] = Mailbox(self.scheduler)
        for address in sorted(addresses):
            self.scheduler.spawn("council who", self.ask_who(address, box))
        answers: dict[str, Message] = {}
        if self.address in self.seeds:
            answers[self.address] = self.on_who({})
        until = self.scheduler.now() + WHO_SECONDS
        for _ in addresses:
            found = yield from box.take(max(0.0, until - self.scheduler.now()))
            if found is None:
                break
            address, answer = found
            if isinstance(answer.get("disk"), str) or answer.get("diskless") is True:
                answers[address] = answer
        return answers

    def ask_who(self, address: str, box: Mailbox[tuple[str, Message]]) -> Step[None]:
        found = yield from self.lines.ask(address, {"kind": "council.who"}, WHO_SECONDS)
        box.put((address, found.ok if found.is_ok() else {}))

    def may_found_with(self, answers: dict[str, Message]) -> bool:
        """Whether this and every other seed answered, and all that have a disk are empty."""
        told = [answers.get(seed, {}) for seed in self.seeds]
        with_disk = [answer for answer in told if answer.get("diskless") is not True]
        disks = {str(answer.get("disk")) for answer in with_disk}
        return (
            self.empty
            and self.pace.may_found
            and self.address in self.seeds
            and all(answer.get("empty") is True for answer in with_disk)
            and len(disks) == len(with_disk)
        )

    def join_leader(self, answers: dict[str, Message]) -> Step[None]:
        """Ask the leader that most of the others name to carry the log here."""
        named = [str(answer.get("leader_address") or "") for answer in answers.values()]
        counts = Counter(address for address in named if address not in ("", self.address))
        if not counts:
            return
        leader = counts.most_common(1)[0][0]
        message: Message = {
            "kind": "council.join",
            "disk": self.disk,
            "address": self.address,
        }
        yield from self.lines.ask(leader, message, WHO_SECONDS)

    def found(self, voters: Voters) -> None:
        """Write the founding word; the same on all three seeds, whoever is first."""
        if not self.empty:
            return
        entry = Entry(1, 1, VOTERS, cbor2.dumps(dict(sorted(voters.items()))))
        if self.replicated_log.begin(1, entry):
            self.find_voters()
            self.put_off_election()
            self.log.write(FOUNDED, voters=sorted(voters.values()))


def whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError("not a whole number")
    return value


def listed(value: object) -> list[object]:
    if not isinstance(value, list):
        raise ValueError("not a list")
    return value
