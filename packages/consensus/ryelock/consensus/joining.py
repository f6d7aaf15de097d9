"""How a disk becomes a member: founded with the other empty seeds, or as a learner."""

from collections import Counter

import cbor2

from ryelock.consensus.entries import (
    VOTERS,
    Entry,
    Voters,
)
from ryelock.consensus.proposals import Proposals
from ryelock.consensus.replication import WHO_SECONDS
from ryelock.consensus.types import Command
from ryelock.events import (
    CLUSTER_BOOTSTRAPPED,
)
from ryelock.rpc import Message
from ryelock.runtime import Queue


class Joining(Proposals):
    """Finds the leader and joins it; founds where all seeds are empty."""

    __slots__ = ()

    def on_who(self, _: Message) -> Message:
        known = self.knows_leader()
        return {
            "disk": self.disk,
            "empty": self.empty,
            "epoch": self.term,
            "leader": self.leader if known else "",
            "leader_address": self.leader_address if known else "",
            "voters": self.voters,
            "name": self.name,
            "applied": self.applied_index,
        }

    def on_join(self, message: Message) -> Message:
        disk = str(message["disk"])
        if self.role == "leader" and disk != self.disk:
            self.learners[disk] = (str(message["address"]), self.scheduler.now())
            if disk not in self.peers:
                self.add_peer(disk, str(message["address"]))
        return self.on_who(message)

    async def join(self) -> None:
        """Until this disk is a voter that hears its leader: found with the other empty seeds, or
        learn. A voter that was away may have been voted out, and nobody beats to it any more."""
        while True:
            if self.disk not in self.voters or not self.knows_leader():
                answers = await self.ask_around()
                if self.may_found_with(answers):
                    founders = {
                        str(answers[seed]["disk"]): seed
                        for seed in self.seeds
                        if "disk" in answers[seed]
                    }
                    self.commands.put(Command(lambda voters=founders: self.found(voters)))  # type: ignore[misc]
                else:
                    await self.join_leader(answers)
            await self.scheduler.sleep(0.5 + 0.2 * self.random.random())

    async def ask_around(self) -> dict[str, Message]:
        """What the seeds and the voters known here say of the leader, by address."""
        addresses = {*self.seeds, *self.voters.values(), self.leader_address} - {"", self.address}
        box: Queue[tuple[str, Message]] = Queue(self.scheduler)
        for address in sorted(addresses):
            self.scheduler.create_task(self.ask_who(address, box), name="consensus who")
        answers: dict[str, Message] = {}
        if self.address in self.seeds:
            answers[self.address] = self.on_who({})
        until = self.scheduler.now() + WHO_SECONDS
        for _ in addresses:
            found = await box.get(max(0.0, until - self.scheduler.now()))
            if found is None:
                break
            address, answer = found
            if isinstance(answer.get("disk"), str) or answer.get("diskless") is True:
                answers[address] = answer
        return answers

    async def ask_who(self, address: str, box: Queue[tuple[str, Message]]) -> None:
        found = await self.rpc_clients.call(address, {"kind": "council.who"}, WHO_SECONDS)
        box.put((address, found.ok if found.is_ok() else {}))

    def may_found_with(self, answers: dict[str, Message]) -> bool:
        """Whether this and every other seed answered, and all that have a disk are empty."""
        told = [answers.get(seed, {}) for seed in self.seeds]
        with_disk = [answer for answer in told if answer.get("diskless") is not True]
        disks = {str(answer.get("disk")) for answer in with_disk}
        return (
            self.empty
            and self.settings.may_found
            and self.address in self.seeds
            and all(answer.get("empty") is True for answer in with_disk)
            and len(disks) == len(with_disk)
        )

    async def join_leader(self, answers: dict[str, Message]) -> None:
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
        await self.rpc_clients.call(leader, message, WHO_SECONDS)

    def found(self, voters: Voters) -> None:
        """Write the founding word; the same on all three seeds, whoever is first."""
        if not self.empty:
            return
        entry = Entry(1, 1, VOTERS, cbor2.dumps(dict(sorted(voters.items()))))
        if self.replicated_log.begin(1, entry):
            self.find_voters()
            self.put_off_election()
            self.log.write(CLUSTER_BOOTSTRAPPED, voters=sorted(voters.values()))
