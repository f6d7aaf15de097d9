"""A control node as a whole: what it holds for the life of the process, and its end."""

from random import Random

from ryelock.consensus import Consensus, ConsensusSettings
from ryelock.consensus.status import member_status
from ryelock.control_api import OPERATOR, ControlApi
from ryelock.control_plane.aggregator import Aggregator
from ryelock.control_plane.keeper import RoleAssigner
from ryelock.control_plane.leading import OperatorRequests
from ryelock.control_plane.metrics import ControlMetrics
from ryelock.control_plane.platform import DUTY as READER
from ryelock.control_plane.platform import PlatformReader
from ryelock.control_plane.renewals import LeaseRenewals
from ryelock.control_plane.voters import LEAVE
from ryelock.events import ROLE_FENCED, STARTED, STOPPED, STOPPING, VOTER_LEAVING, Log
from ryelock.journal import Journal
from ryelock.membership import Membership, Session
from ryelock.metrics import export_metrics
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message, Reply, RpcClients, RpcServer
from ryelock.runtime import Network, Scheduler, Task
from ryelock.settings import Settings
from ryelock.singleton import SingletonRole

LEAVE_SECONDS_MOST = 4.0
"""A stopping node waits for its place to be taken for so long at most."""
LEAVE_ASK_SECONDS = 0.5
LEAVE_PAUSE_SECONDS = 0.05
FINISH_SECONDS = 0.5
"""Open requests on the control address get at least so long to be answered."""


class ControlNode:
    __slots__ = (
        "aggregator",
        "consensus",
        "control_api",
        "heard_clock",
        "keeper",
        "leading",
        "lines",
        "listener",
        "log",
        "membership",
        "network",
        "platform",
        "renewals",
        "replicated_state",
        "running",
        "scheduler",
        "session",
        "settings",
        "stopping",
    )

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        random: Random,
        disk: str,
        journal: Journal,
    ) -> None:
        self.settings = settings
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.stopping = False
        self.lines = RpcClients(scheduler, network, log)
        self.replicated_state = ReplicatedState()
        incarnation = f"{random.getrandbits(48):012x}"
        source = f"{settings.name}/{incarnation}"
        self.membership = Membership(
            scheduler, source, max(3.0, 2 * settings.term_seconds), settings.gone_seconds
        )
        self.listener = RpcServer(scheduler, network, log, settings.wire_address, self.on_ask)
        pace = ConsensusSettings(
            settings.beat_seconds,
            settings.election_seconds,
            settings.term_seconds,
            settings.replace_seconds,
            settings.image_records,
            settings.may_found,
            settings.disk_bytes,
        )
        self.consensus = Consensus(
            scheduler,
            self.lines,
            log,
            journal,
            self.replicated_state,
            settings.name,
            disk,
            self.listener.address,
            settings.seeds,
            pace,
            random,
        )
        self.platform = PlatformReader(settings, scheduler, network, log, f"servers@{source}")
        if settings.reader_duty:
            self.platform.on_duty = self.reads
        self.renewals = LeaseRenewals(
            settings,
            scheduler,
            log,
            self.consensus,
            self.replicated_state,
            self.membership,
            self.platform,
            f"members@{source}",
        )
        self.leading = OperatorRequests(
            scheduler, log, self.consensus, self.replicated_state, self.membership, self.renewals
        )
        figures = ControlMetrics(self.consensus, self.replicated_state, self.renewals).all
        export_metrics(
            scheduler, network, log, figures, settings.metrics_address, settings.metrics_log_seconds
        )
        duties = ("aggregator", READER) if settings.reader_duty else ("aggregator",)
        self.keeper = RoleAssigner(
            scheduler,
            log,
            self.consensus,
            self.replicated_state,
            self.membership,
            duties,
            self.renewals.objects,
            settings.derive_watches,
        )
        self.leading.replicas = self.keeper.voters.replicas
        self.aggregator = Aggregator(
            settings, scheduler, self.replicated_state, self.membership, self.decide
        )
        self.consensus.say = self.say
        self.consensus.hear = self.on_said
        self.consensus.applied_news.append(self.renewals.tell)
        self.platform.on_news = self.renewals.tell
        self.control_api = ControlApi(
            scheduler,
            network,
            log,
            self.lines,
            settings.control_address,
            self.leader,
            self.others,
            self.leading.serve,
            self.fitness,
            None,
        )
        self.heard_clock: list[object] = []
        self.aggregator.clock = lambda: self.heard_clock
        self.session = Session()
        self.session.name = settings.name
        self.session.role = "core"
        self.session.zone = settings.zone
        self.session.machine = settings.machine
        self.session.rpc_address = self.listener.address
        self.session.control_address = self.control_api.listener.address
        self.session.incarnation = incarnation
        self.session.disk = disk
        self.running: list[Task] = []

    def start(self) -> None:
        self.log.write(
            STARTED,
            role="core",
            zone=self.settings.zone,
            wire=self.session.rpc_address,
            control=self.session.control_address,
            disk=self.session.disk,
        )
        self.consensus.start()
        create_task = self.scheduler.create_task
        self.running = [
            create_task(self.keeper.work(), name="keeper"),
            create_task(self.keeper.voters.work(), name="voters"),
            create_task(self.aggregator.work(), name="aggregator"),
            create_task(self.tend(), name="tends"),
        ]
        if self.settings.platform_address:
            self.running.append(create_task(self.platform.work(), name="platform"))

    def follow(self, settings: Settings) -> None:
        """Settings that changed: the seeds; all others stand for the life of the process."""
        self.consensus.seeds = settings.seeds

    def reads(self) -> bool:
        """Whether this node holds the duty of reading the platform's list."""
        duty = self.replicated_state.singletons.get(READER)
        return duty is not None and duty.owner == self.settings.name

    def leader(self) -> str:
        if self.consensus.role == "leader":
            return "here"
        return self.consensus.leader_address if self.consensus.knows_leader() else ""

    def others(self) -> list[str]:
        return [
            address
            for address in self.consensus.voters.values()
            if address != self.session.rpc_address
        ]

    # Asks of other processes.

    def on_ask(self, message: Message, reply: Reply) -> None:
        kind = message.get("kind")
        if kind == "council.promise":
            self.consensus.answer(message, self.with_listing(message, reply))
        elif self.consensus.answer(message, reply):
            return
        elif kind == "renew" and not self.consensus.settled and message.get("passed") is not True:
            self.scheduler.create_task(self.pass_renewal(message, reply), name="renewal")
        elif kind == "renew":
            self.scheduler.create_task(self.renewals.renew(message, reply), name="renewal")
        elif kind == "leave":
            self.renewals.leave(message, reply)
        elif kind == LEAVE:
            reply(self.keeper.voters.on_leave(message))
        elif kind == OPERATOR:
            self.scheduler.create_task(self.answer_operator(message, reply), name="operator")
        elif kind in ("claim", "release"):
            self.scheduler.create_task(self.answer_claim(message, reply), name="claim")
        elif kind == "decision":
            self.scheduler.create_task(self.answer_decision(message, reply), name="decision")
        elif kind == "rows":
            answer = self.aggregator.take_rows(message)
            if answer.get("ok") is not True:
                self.log.write(ROLE_FENCED, duty="aggregator", epoch=message.get("epoch"))
            reply(answer)
        else:
            reply({"fault": "unknown ask"})

    async def pass_renewal(self, message: Message, reply: Reply) -> None:
        """An edge that cannot reach the leader renews through a node that can.

        Its term counts from before its own asking, so the way round only makes it shorter.
        """
        leader = self.leader()
        if not leader or leader == "here":
            reply({"ok": False, "leader": ""})
            return
        found = await self.lines.call(leader, {**message, "passed": True}, 0.5)
        reply(found.ok if found.is_ok() else {"ok": False, "leader": ""})

    def with_listing(self, message: Message, reply: Reply) -> Reply:
        """A promise brings the servers this node knows of, as an edge needs them to go on."""

        def wrapped(answer: Message) -> None:
            vector = message.get("vector")
            listing = self.platform.said(
                vector if isinstance(vector, dict) else {}, self.scheduler.now()
            )
            reply({**answer, "listing": listing} if listing is not None else answer)

        return wrapped

    async def answer_operator(self, message: Message, reply: Reply) -> None:
        """An operator's order; where a node elsewhere cannot reach the leader, passed on once."""
        found = await self.leading.serve(message)
        leader = self.leader()
        if found.get("status") == "elsewhere" and message.get("through") is True and leader:
            found = await self.control_api.ask_leader(leader, {**message, "through": False})
        reply(found)

    async def answer_claim(self, message: Message, reply: Reply) -> None:
        """An edge's claim of a key; where this node does not lead, passed on once."""
        leader = self.leader()
        if leader == "here":
            reply(await self.leading.claim(message))
        elif leader and message.get("passed") is not True:
            found = await self.lines.call(leader, {**message, "passed": True}, 1.0)
            reply(found.ok if found.is_ok() else {"status": "unknown"})
        else:
            reply({"status": "elsewhere"})

    async def answer_decision(self, message: Message, reply: Reply) -> None:
        reply(await self.leading.decide(message))

    async def decide(self, message: Message) -> bool:
        """Have a verdict written, here or by the leader elsewhere.

        It takes along what was last heard of the leader's clock, so that the leader can tell
        one that was long on its way.
        """
        leader = self.leader()
        if leader == "here":
            found = await self.leading.decide(message)
        elif leader:
            answer = await self.lines.call(leader, message, 3.0)
            if answer.is_error():
                return False
            found = answer.ok
        else:
            return False
        if found.get("status") == "fenced":
            self.log.write(ROLE_FENCED, duty="aggregator", epoch=message.get("epoch"))
        return found.get("status") == "accepted"

    def say(self) -> Message:
        """To other control nodes: sessions, and the platform's servers as read here."""
        return {
            **self.membership.to_wire(),
            "listing": self.platform.say(),
            "clock": self.scheduler.now(),
        }

    def on_said(self, disk: str, said: Message, since: float | None) -> None:
        try:
            self.heard_clock = [disk, said.get("clock")]
            self.platform.hear(said.get("listing"), since)
            self.membership.merge(said)
        except ValueError:
            return

    async def tend(self) -> None:
        """This node's own session, and sessions that ended."""
        while True:
            self.session.ready = not self.stopping
            self.session.applied = self.consensus.applied_index
            fresh = Session()
            for slot in Session.__slots__:
                setattr(fresh, slot, getattr(self.session, slot))
            self.membership.renew(fresh)
            self.renewals.lapse()
            await self.scheduler.sleep(0.25)

    def fitness(self) -> Message:
        known = self.consensus.knows_leader()
        reason = "stopping" if self.stopping else "" if known else "no leader is known"
        return {
            "name": self.settings.name,
            "role": "core",
            "zone": self.settings.zone,
            "ready": not reason,
            "reason": reason,
            "version": self.replicated_state.version,
            "index": self.consensus.applied_index,
            "epoch": self.consensus.term,
            "leads": self.consensus.role == "leader",
            "voter": self.consensus.disk in self.consensus.voters,
            "leader": self.consensus.leader_address,
            "disk": self.consensus.disk,
            **member_status(self.consensus).plain(),
        }

    # The end.

    async def stop(self) -> None:
        """Hand over duties by name and the voter's place by agreement, then end."""
        until = self.scheduler.now() + min(self.settings.stop_seconds, LEAVE_SECONDS_MOST)
        self.stopping = True
        self.log.write(STOPPING)
        self.session.ready = False
        await self.hand_over_duties()
        await self.leave_consensus(until)
        self.control_api.listener.stop_accepting()
        await self.control_api.listener.finish(max(FINISH_SECONDS, until - self.scheduler.now()))
        for running in self.running:
            running.cancel()
        self.log.write(STOPPED)

    async def leave_consensus(self, until: float) -> None:
        """Wait for the release, then take no part in consensus any more.

        Open requests are answered for a while after that. A leader that was elected meanwhile
        does not know of the release: an entry that it commits must not rest on this disk.
        """
        await self.wait_for_release(until)
        self.consensus.stop()

    async def wait_for_release(self, until: float) -> bool:
        """Wait until no agreed entry rests on this disk, or no other node can take its place.

        A spare takes the voter's place where there is one; a node that only restarts comes back
        as a spare. Without a leader that answers, the wait ends at `until`, without a release.
        """
        self.consensus.leaving = True
        self.log.write(VOTER_LEAVING, voter=self.consensus.disk in self.consensus.voters)
        message: Message = {"kind": LEAVE, "disk": self.consensus.disk}
        while self.scheduler.now() < until:
            leader = self.leader()
            if leader == "here":
                successor = self.consensus.best_successor(self.keeper.voters.leaving)
                if not successor:
                    return False
                await self.consensus.transfer_leadership(successor)
            elif leader:
                found = await self.lines.call(leader, message, LEAVE_ASK_SECONDS)
                if found.is_ok() and self.is_released(found.ok):
                    return True
            await self.scheduler.sleep(LEAVE_PAUSE_SECONDS)
        return False

    def is_released(self, answer: Message) -> bool:
        """Whether an answer to `council.leave` releases this node.

        One of an older epoch does not: this node may have stored entries for a newer leader.
        """
        epoch = answer.get("epoch", self.consensus.term)
        return answer.get("may_end") is True and epoch == self.consensus.term

    async def hand_over_duties(self) -> None:
        """The holder names its successor; the leader has it agreed."""
        until = self.scheduler.now() + 1.5
        while self.scheduler.now() < until:
            held = [
                duty
                for duty in self.replicated_state.singletons.values()
                if duty.owner == self.settings.name
            ]
            if not held or not any(duty.successor for duty in held):
                return
            for duty in held:
                if self.consensus.role == "leader" and duty.successor:
                    await self.keeper.give(
                        SingletonRole(duty.name, duty.successor, duty.fencing_token + 1, "")
                    )
            await self.scheduler.sleep(0.1)
