"""One member of the consensus: its owner task, its clock, and the requests of other members.

The layers below it, one job each, from the state up: state, applying, replication, following,
elections, proposals, joining.
"""

from collections.abc import Callable

from ryelock.consensus.joining import Joining
from ryelock.consensus.types import Command, Proposal
from ryelock.events import (
    LEADER_FOUND,
    LEADER_LOST,
    LEADER_STEPPED_DOWN,
)
from ryelock.rpc import Message, Reply

APPLY_PAUSE_SECONDS = 0.0005
"""What the other tasks of the process get between two such batches."""
ISOLATED_TIMEOUTS = 3
"""A member that heard no leader for so many election timeouts says so."""
DISK_RETRY_SECONDS = 2.0
"""A node whose disk refused a write stands for no election for so long."""


class Consensus(Joining):
    """A member that runs: started, stopped, asked by others."""

    __slots__ = ()

    def start(self) -> None:
        self.tasks.append(self.scheduler.create_task(self.work(), name="consensus"))
        self.tasks.append(self.scheduler.create_task(self.join(), name="consensus joins"))

    def stop(self) -> None:
        self.drop_leading("stopping")
        for running in self.tasks:
            running.cancel()

    async def work(self) -> None:
        """The owner: every change of this seat happens here, in turn."""
        while True:
            behind = self.applied_index < self.commit_index
            command = await self.commands.get(
                0.0 if behind else self.settings.heartbeat_seconds / 2
            )
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
            if self.applied_index < self.commit_index:
                await self.scheduler.sleep(APPLY_PAUSE_SECONDS)

    def look_at_clock(self) -> None:
        now = self.scheduler.now()
        if self.role == "leader":
            self.led_at = now
            if (
                now - max(self.majority_contact_at(), self.elected_at)
                > self.settings.election_timeout * 1.5
            ):
                self.log.write(LEADER_STEPPED_DOWN, epoch=self.term)
                self.drop_leading("lost its majority")
            elif self.settled and not self.changing_voters and self.disk not in self.voters:
                self.pass_leading_on("no voter any more")
            return
        self.tell_isolation(now)
        if not self.may_stand:
            return
        pace = self.settings.election_timeout
        if now - self.leader_heard > 0.5 * pace and now - self.reach_at > 0.6 * pace:
            self.reach_at = now
            self.scheduler.create_task(self.reach(), name="consensus reach")
        if now < self.election_at or now < self.disk_failed_at + DISK_RETRY_SECONDS:
            return
        if self.leaving:
            return
        self.put_off_election()
        self.tries += 1
        self.scheduler.create_task(self.campaign(self.tries, True), name="consensus election")

    def tell_isolation(self, now: float) -> None:
        """Write once that no leader is heard, and once that one is again."""
        heard = max(self.leader_heard, self.led_at)
        isolated = now - heard > ISOLATED_TIMEOUTS * self.settings.election_timeout
        if isolated != self.isolated:
            self.isolated = isolated
            self.log.write(LEADER_LOST if isolated else LEADER_FOUND, epoch=self.term)

    def answer(self, message: Message, reply: Reply) -> bool:
        """Take an ask into the queue; False when it is not for the consensus."""
        handlers: dict[str, Callable[[Message], Message]] = {
            "council.who": self.on_who,
            "council.beat": self.on_heartbeat,
            "council.vote": self.on_vote,
            "council.image": self.on_snapshot,
            "council.join": self.on_join,
            "council.promise": self.on_promise,
            "council.takeover": self.on_leadership_transfer,
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
