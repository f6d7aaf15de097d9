"""Elections and promises.

The leader of an epoch is elected by a majority that persisted its vote; a trial round comes first
and disturbs nobody. Where there is no leader and none can be had, a voter may promise to join none
for a while, so that edges can go on: see docs/design.md, terms. It notes so on disk before its
first promise, and after a restart joins nobody for one promise's length.
"""

from ryelock.consensus.entries import (
    majority_of,
)
from ryelock.consensus.following import Following
from ryelock.consensus.messages import whole
from ryelock.consensus.types import Command
from ryelock.rpc import Message
from ryelock.runtime import Queue


class Elections(Following):
    """Stands for election, votes and promises."""

    __slots__ = ()

    def on_vote(self, message: Message) -> Message:
        epoch = whole(message["epoch"])
        trial = message["trial"] is True
        last = (whole(message["last_epoch"]), whole(message["last_index"]))
        answer: Message = {"disk": self.disk, "epoch": self.term, "granted": False}
        if message["to"] != self.disk:
            return {**answer, "stranger": True}
        now = self.scheduler.now()
        handed = message.get("handed") is True
        if now < self.promised or (self.knows_leader() and not handed and epoch >= self.term):
            return answer
        mine = (self.term_at(self.last_index), self.last_index)
        if last < mine or epoch < self.term:
            return answer
        candidate = str(message["disk"])
        if trial:
            return {**answer, "granted": epoch > self.term}
        if epoch == self.term and self.voted not in ("", candidate):
            return answer
        if self.role == "leader":
            self.drop_leading("another election")
        if not self.save_vote(epoch, candidate):
            return answer
        self.put_off_election()
        return {**answer, "epoch": self.term, "granted": True}

    def on_promise(self, message: Message) -> Message:
        """Join no leader for so long; granted only where no leader can be had."""
        seconds = message["seconds"]
        now = self.scheduler.now()
        granted = (
            self.disk in self.voters
            and not self.knows_leader()
            and isinstance(seconds, float)
            and 0 < seconds <= self.settings.promise_seconds
            and now - self.last_round_failed < 3 * self.settings.election_timeout
        )
        if granted and not self.promise_noted:
            granted = self.replicated_log.save_promise(True)
        if granted:
            self.promised = max(self.promised, now + float(str(seconds)))
        return {
            "granted": granted,
            "disk": self.disk,
            "voters": sorted(self.voters),
            "last": self.last_command_index(),
            "configuration": list(self.replicated_log.configuration_place()),
        }

    def on_leadership_transfer(self, message: Message) -> Message:
        """The leader names this node its successor."""
        if whole(message["epoch"]) != self.term or not self.may_stand:
            return {"ok": False}
        self.tries += 1
        self.scheduler.create_task(self.campaign(self.tries, False), name="consensus election")
        return {"ok": True}

    async def reach(self) -> None:
        """Find out early whether a majority of voters can be reached at all.

        Waiting for an election to fail takes longer than an edge's term lasts, and a share
        that lapsed cannot be taken up again; so a voter that hears no leader asks round first.
        """
        voters = dict(self.voters)
        box: Queue[tuple[bool, bool]] = Queue(self.scheduler)
        for disk, address in voters.items():
            if disk != self.disk:
                self.scheduler.create_task(
                    self.ask_vote(
                        address, {"kind": "council.who"}, 0.3 * self.settings.election_timeout, box
                    ),
                    name="consensus reach",
                )
        answers = 1
        for _ in range(len(voters) - 1):
            found = await box.get(0.4 * self.settings.election_timeout)
            answers += found is not None and found[1]
        reached = answers >= majority_of(len(voters))
        self.last_round_failed = -1e9 if reached else self.scheduler.now()

    async def campaign(self, ticket: int, trial: bool) -> None:
        """Ask for votes; first for a trial, which disturbs nobody."""
        if trial:
            won, reached = await self.gather_votes(self.term + 1, True, False)
            if ticket != self.tries or self.role == "leader":
                return
            self.last_round_failed = -1e9 if reached else self.scheduler.now()
            if not won:
                return
            if self.scheduler.now() < self.promised or self.knows_leader():
                return
        if self.role == "leader":
            return
        epoch = self.term + 1
        if not self.save_vote(epoch, self.disk):
            return
        self.role = "candidate"
        self.put_off_election()
        won, _ = await self.gather_votes(epoch, False, not trial)
        if ticket != self.tries or self.term != epoch or self.role != "candidate":
            return
        if won and self.scheduler.now() >= self.promised:
            self.commands.put(Command(lambda: self.lead(epoch)))
        else:
            self.role = "follower"

    async def gather_votes(self, epoch: int, trial: bool, handed: bool) -> tuple[bool, bool]:
        """Whether a majority granted, and whether a majority answered at all."""
        voters = dict(self.voters)
        if not self.may_stand:
            return False, False
        box: Queue[tuple[bool, bool]] = Queue(self.scheduler)
        seconds = self.settings.election_timeout * 0.8
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
                    "last_epoch": self.term_at(self.last_index),
                }
                self.scheduler.create_task(
                    self.ask_vote(address, message, seconds, box), name="consensus vote"
                )
        own = int(self.disk in voters)
        votes, answers, asked, needed = own, own, own, majority_of(len(voters))
        until = self.scheduler.now() + seconds
        while votes < needed and asked < len(voters):
            found = await box.get(max(0.0, until - self.scheduler.now()))
            if found is None:
                break
            asked += 1
            votes += found[0]
            answers += found[1]
        return votes >= needed, answers >= needed

    async def ask_vote(
        self, address: str, message: Message, seconds: float, box: Queue[tuple[bool, bool]]
    ) -> None:
        found = await self.rpc_clients.call(address, message, seconds)
        if found.is_error():
            box.put((False, False))
            return
        epoch = found.ok.get("epoch")
        if isinstance(epoch, int) and epoch > self.term:
            self.commands.put(Command(lambda: self.see_epoch(epoch)))
        box.put((found.ok.get("granted") is True, found.ok.get("stranger") is not True))
