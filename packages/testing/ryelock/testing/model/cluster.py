"""Control nodes on simulated machines, their operators, and one edge that asks for votes."""

from collections.abc import Callable
from random import Random

from expression import Error, Ok, Result

from ryelock.rpc import NoResponseError
from ryelock.runtime import Queue, Scheduler
from ryelock.testing.model.adapter import (
    QUORUM_LEASE_SECONDS,
    RELEASE_REQUEST,
    UNREADABLE,
    Change,
    DiskLog,
    DiskUnusableError,
    Message,
    ProductNode,
    QuorumLeaseVote,
    decode_vote,
    is_quorum,
    read_disk,
)
from ryelock.testing.model.disk import Crash, ModelFolder
from ryelock.testing.model.invariants import (
    LIVENESS,
    READABLE,
    RETRY_ACKNOWLEDGED,
    TASK_FAULT,
    History,
    QuorumLeaseWindow,
)
from ryelock.testing.model.linearizability import (
    ACCEPTED,
    CHANGE,
    CONFLICT,
    NOT_TAKEN,
    READ,
    UNKNOWN,
    Operation,
)
from ryelock.testing.model.network import CALM, World

SEEDS = 3
SEGMENT_BYTES = 1500
HEAL_SECONDS = 20.0
DEPARTURE_SECONDS = 12.0
QUORUM_LEASE_ROUND_SECONDS = 0.4
READ_SECONDS = 2.1
CHANGE_SECONDS = 12.0
CHANGE_ATTEMPTS = 4

# Variants that a schedule can leave out, so that a search goes on behind a known fault.


class MachineClock:
    """A monotonic clock that may run fast or slow; a blocked process reads later times."""

    __slots__ = ("machine", "rate", "zero")

    def __init__(self, machine: "Machine") -> None:
        """A clock that reads 0 at the world's time 0."""
        self.machine = machine
        self.rate = 1.0
        self.zero = 0.0

    def now(self) -> float:
        """Seconds on this machine's clock."""
        return max(self.machine.world.time, self.machine.busy_until) * self.rate + self.zero

    def wall(self) -> float:
        """The consensus group does not use the wall clock."""
        return 0.0

    def set_rate(self, rate: float) -> None:
        """Run at another rate from now on; the reading does not jump."""
        now = self.now()
        self.rate = rate
        self.zero += now - self.now()

    def world_time(self, reading: float) -> float:
        """The world's time at a reading of this clock."""
        return (reading - self.zero) / self.rate


class ModelRpcClients:
    """The requests of one process, over the model's world, in place of `ryelock.rpc.RpcClients`."""

    __slots__ = ("cluster", "machine", "pending_calls", "sequence")

    def __init__(self, cluster: "Cluster", machine: "Machine") -> None:
        """Clients of one incarnation of a machine's process."""
        self.cluster = cluster
        self.machine = machine
        self.sequence = 0
        self.pending_calls: dict[int, Queue[Message]] = {}

    async def call(
        self, address: str, message: Message, timeout: float
    ) -> Result[Message, NoResponseError]:
        """Send a request to another process; an error where no answer came in time."""
        self.sequence += 1
        number = self.sequence
        responses: Queue[Message] = Queue(self.machine.scheduler)
        self.pending_calls[number] = responses
        try:
            self.cluster.send_request(self, address, message, number)
            answer = await responses.get(timeout)
        finally:
            self.pending_calls.pop(number, None)
        if answer is None:
            return Error(NoResponseError(address, True))
        return Ok(answer)


class Machine:
    """One machine: disk, clock and perhaps a running process."""

    __slots__ = (
        "busy_until",
        "clock",
        "cluster",
        "folder",
        "frozen",
        "leaving",
        "log",
        "log_changes",
        "name",
        "node",
        "power_mode",
        "random",
        "rpc_clients",
        "scheduler",
        "world",
    )

    def __init__(self, cluster: "Cluster", name: str) -> None:
        """A machine with an empty disk and no process."""
        self.cluster = cluster
        self.world = cluster.world
        self.name = name
        self.random = Random(f"{cluster.seed} {name}")
        self.busy_until = 0.0
        self.clock = MachineClock(self)
        self.scheduler = Scheduler(self.clock, self.fault)
        self.rpc_clients = ModelRpcClients(cluster, self)
        self.node: ProductNode | None = None
        self.frozen = False
        self.power_mode = ""
        self.leaving: ProductNode | None = None
        self.folder = self.new_folder()
        self.log: DiskLog | None = None
        self.log_changes = -1

    def new_folder(self) -> ModelFolder:
        """An empty disk of this machine."""
        folder = ModelFolder(self.random)
        folder.on_stall = self.stall
        return folder

    def fault(self, task: str, error: BaseException) -> None:
        """A task of the process ended by an exception."""
        self.cluster.history.fail(TASK_FAULT, f"{self.name} {task}: {error!r}")

    def stall(self, seconds: float) -> None:
        """The process is blocked in a disk operation for so long."""
        self.busy_until = max(self.world.time, self.busy_until) + seconds
        self.world.at(self.busy_until, lambda: None)

    # As the world sees a process.

    def run(self) -> bool:
        """Run the process's tasks that are ready; says whether there were any."""
        if self.node is None or self.frozen or self.busy_until > self.world.time:
            return False
        scheduler = self.scheduler
        if not scheduler.has_ready:
            heartbeat = scheduler.next_timer()
            if heartbeat is None or heartbeat > self.clock.now():
                return False
        try:
            scheduler.run_ready(200)
        except Crash:
            self.kill(self.power_mode)
        return True

    def next_time(self) -> float | None:
        """When the process wants to run next, in the world's time."""
        if self.node is None or self.frozen or self.busy_until > self.world.time:
            return None
        heartbeat = self.scheduler.next_timer()
        return None if heartbeat is None else self.clock.world_time(heartbeat)

    # Life.

    def start(self) -> None:
        """Start a process on what the disk holds; it stays down where that cannot be opened."""
        if self.node is not None:
            return
        self.scheduler = Scheduler(self.clock, self.fault)
        self.rpc_clients = ModelRpcClients(self.cluster, self)
        self.frozen = False
        self.folder.point()
        try:
            self.node = ProductNode(
                self.scheduler,
                self.rpc_clients,
                self.folder,
                self.name,
                self.name,
                self.cluster.seeds,
                self.random,
                self.cluster.history,
                self.cluster.snapshot_records,
                SEGMENT_BYTES,
            )
            self.node.start()
        except DiskUnusableError:
            self.node = None
        except UNREADABLE as error:
            self.node = None
            self.cluster.history.fail(READABLE, f"{self.name}: {error!r}")

    def start_or_crash(self) -> None:
        """Start the process; an armed crash may end it at once."""
        try:
            self.start()
        except Crash:
            self.node = None
            self.kill(self.power_mode)

    def kill(self, power_mode: str) -> None:
        """End the process at once; with a mode the power goes too."""
        self.node = None
        self.frozen = False
        self.busy_until = 0.0
        self.folder.crash_in = 0
        self.folder.stall_seconds = 0.0
        if power_mode:
            self.folder.lose_power(power_mode)

    def read_log(self) -> DiskLog | None:
        """The durable part of the disk, opened afresh; kept until the disk changes."""
        if self.log_changes != self.folder.changes:
            try:
                self.log = read_disk(self.folder.view(), SEGMENT_BYTES)
            except UNREADABLE as error:
                self.cluster.history.fail(READABLE, f"{self.name}: {error!r}")
                self.log = None
            self.log_changes = self.folder.changes
        return self.log


class Cluster:
    """Machines, world, history, and the steps that a schedule is made of."""

    def __init__(self, seed: int, machines: int, snapshot_records: int) -> None:
        """Machines that are all down yet."""
        self.seed = seed
        self.snapshot_records = snapshot_records
        self.random = Random(f"cluster {seed}")
        self.world = World(Random(f"world {seed}"))
        self.history = History()
        self.machines = [Machine(self, f"n{number}") for number in range(machines)]
        self.by_name = {machine.name: machine for machine in self.machines}
        self.seeds = tuple(machine.name for machine in self.machines[:SEEDS])
        self.world.processes = list(self.machines)
        self.changes: list[Change] = []
        self.tokens = 0
        self.purges = 0

    # Messages.

    def send_request(
        self, rpc_clients: ModelRpcClients, address: str, message: Message, number: int
    ) -> None:
        """Carry a request to the process at an address, and its answer back."""
        source, target = rpc_clients.machine, self.by_name[address]
        self.history.sent(message)
        target_clients = target.rpc_clients

        def deliver() -> None:
            node = target.node
            if node is None or target.rpc_clients is not target_clients:
                return

            def reply(answer: Message) -> None:
                if message.get("kind") == RELEASE_REQUEST and answer.get("may_end") is True:
                    self.read_disks()
                    self.history.check_left(str(message["disk"]))
                self.history.answered(message, answer)
                self.world.send(
                    target.name,
                    source.name,
                    target.busy_until,
                    lambda: self.deliver_response(rpc_clients, number, answer),
                )

            node.answer(message, reply)

        self.world.send(source.name, target.name, source.busy_until, deliver)

    def deliver_response(self, rpc_clients: ModelRpcClients, number: int, answer: Message) -> None:
        """Hand an answer to the process that asked, where it still lives."""
        responses = rpc_clients.pending_calls.get(number)
        if (
            responses is not None
            and rpc_clients.machine.rpc_clients is rpc_clients
            and rpc_clients.machine.node is not None
        ):
            responses.put(answer)

    # Checking.

    def check(self) -> None:
        """Read all disks back and raise the first violation."""
        self.read_disks()
        self.raise_found()

    def raise_found(self) -> None:
        """Raise the violation that was seen first."""
        if self.history.found is not None:
            raise self.history.found

    # Who leads, for driving only.

    def leader(self, pick: int = 0) -> Machine | None:
        """A machine whose process leads by its own account; the newest term first."""
        found = [
            machine for machine in self.machines if machine.node is not None and machine.node.leads
        ]
        found.sort(key=lambda machine: -machine.node.term if machine.node is not None else 0)
        return found[pick % len(found)] if found else None

    def leading(self) -> set[tuple[str, int]]:
        """Name and term of every process that leads by its own account."""
        return {
            (machine.name, machine.node.term)
            for machine in self.machines
            if machine.node is not None and machine.node.leads
        }

    # Operators.

    def new_change(self, base: int, version: int) -> Change:
        """A change with an id of its own."""
        change = Change(f"c{len(self.changes)}", base, version, 0)
        self.changes.append(change)
        return change

    def send_change(self, change: Change, machine: Machine) -> Operation | None:
        """One attempt of a change at a node; ends in the history."""
        node = machine.node
        if node is None or not node.leads:
            return None
        self.tokens += 1
        attempt = Change(change.identity, change.base, change.version, self.tokens)
        operation = Operation(
            CHANGE, change.identity, change.base, change.version, self.history.tick()
        )
        operation.node = machine.name
        self.history.operations.append(operation)
        machine.scheduler.create_task(
            self.attempt(machine, node, attempt, operation), name="operator"
        )
        return operation

    async def attempt(
        self, machine: Machine, node: ProductNode, change: Change, operation: Operation
    ) -> None:
        """Send one attempt and note its outcome."""
        outcome = await node.change(change)
        operation.ended = self.history.tick()
        if outcome.certain:
            operation.status = NOT_TAKEN
            self.history.refuse(change)
        elif outcome.status == ACCEPTED:
            operation.status = ACCEPTED
            self.read_disks()
            self.history.acknowledge(
                operation, outcome.version, outcome.index, node.disk, self.world.time
            )
        elif outcome.status == CONFLICT:
            operation.status = CONFLICT
        elif outcome.status == UNKNOWN:
            operation.ended = 0
        else:
            raise AssertionError(f"{change.identity} was answered {outcome.status}")

    def send_read(self, machine: Machine) -> Operation | None:
        """Begin a confirmed read at a node that leads."""
        node = machine.node
        if node is None or not node.leads:
            return None
        operation = Operation(READ, "", 0, 0, self.history.tick())
        operation.node = machine.name
        self.history.operations.append(operation)
        machine.scheduler.create_task(self.reading(node, operation), name="operator")
        return operation

    async def reading(self, node: ProductNode, operation: Operation) -> None:
        """Read and note what was seen."""
        seen = await node.read()
        if seen is not None:
            operation.ended = self.history.tick()
            operation.seen = seen
            operation.status = ACCEPTED

    def send_purge(self, machine: Machine) -> None:
        """Begin a purge at a node that leads."""
        node = machine.node
        if node is not None and node.leads:
            self.purges += 1
            machine.scheduler.create_task(self.purging(machine, node, self.purges), name="operator")

    async def purging(self, machine: Machine, node: ProductNode, number: int) -> None:
        """Purge and note the acknowledgement."""
        index = await node.purge(number)
        if index:
            self.read_disks()
            self.history.acknowledge_command(index, node.disk, self.world.time)

    def read_disks(self) -> None:
        """Open all disks afresh and check them."""
        found = [log for machine in self.machines if (log := machine.read_log()) is not None]
        self.history.disks_read(found)

    def change_voters(self, machine: Machine, wanted: dict[str, str]) -> None:
        """Ask a leader for another set of voters, beside what its voter manager does."""
        node = machine.node
        if node is not None:
            machine.scheduler.create_task(node.change_voters(wanted), name="voters")

    def leave(self, machine: Machine) -> None:
        """Stop a node in order; its process ends once it was let go, or waited long enough."""
        node = machine.node
        if node is not None and machine.leaving is not node:
            machine.leaving = node
            machine.scheduler.create_task(self.leave_then_end(machine, node), name="leave")

    async def leave_then_end(self, machine: Machine, node: ProductNode) -> None:
        """Leave in order, then end."""
        await node.leave()
        self.world.at(self.world.time, lambda: self.end(machine, node))

    def end(self, machine: Machine, node: ProductNode) -> None:
        """End a process unless another incarnation has begun."""
        if machine.node is node:
            machine.kill("")

    # The edge.

    def request_quorum_lease(self) -> None:
        """Ask all nodes to follow no leader for a while, as an edge without a leader does."""
        asked = self.world.time
        votes: list[QuorumLeaseVote] = []
        over = [False]
        message: Message = {"kind": "council.promise", "seconds": QUORUM_LEASE_SECONDS}

        def on_response(answer: Message) -> None:
            vote = decode_vote(answer)
            if over[0] or vote is None or self.world.time > asked + QUORUM_LEASE_ROUND_SECONDS:
                return
            votes.append(vote)
            if is_quorum(votes):
                over[0] = True
                last = max(vote.last_index for vote in votes)
                self.history.windows.append(
                    QuorumLeaseWindow(self.world.time, asked + QUORUM_LEASE_SECONDS, last)
                )

        for machine in self.machines:
            self.send_from_edge(machine, message, on_response)

    def send_from_edge(
        self, machine: Machine, message: Message, on_response: Callable[[Message], None]
    ) -> None:
        """Send a request to one node as the edge."""

        def deliver() -> None:
            if machine.node is not None:
                machine.node.answer(message, reply)

        def reply(answer: Message) -> None:
            self.world.send(machine.name, "edge", machine.busy_until, lambda: on_response(answer))

        self.world.send("edge", machine.name, self.world.time, deliver)

    # Losing disks.

    def may_wipe(self, machine: Machine) -> bool:
        """Whether all configurations on disks keep a majority without this machine's disk."""
        logs = {other.name: log for other in self.machines if (log := other.read_log()) is not None}
        own = logs.pop(machine.name, None)
        if own is None:
            return True
        there = {log.disk for log in logs.values()}
        configurations = [
            voters for log in (*logs.values(), own) for _, voters in log.configurations()[-2:]
        ]
        if not configurations:
            return False
        return all(
            own.disk not in voters or len(there & set(voters)) > len(voters) // 2
            for voters in configurations
        )

    def wipe(self, machine: Machine) -> None:
        """Replace a machine's disk by an empty one, where the cluster can bear it."""
        if self.may_wipe(machine):
            self.check()
            machine.kill("")
            machine.folder = machine.new_folder()
            machine.log_changes = -1

    # Healing.

    def heal(self) -> None:
        """End all faults of network and disks and start what is down."""
        self.world.cuts.clear()
        self.world.weather = CALM
        for machine in self.machines:
            machine.folder.repair()
            machine.frozen = False
            machine.start_or_crash()

    def all_left(self) -> bool:
        """Whether no node is waiting for its planned end."""
        return all(
            machine.node is None or machine.node is not machine.leaving for machine in self.machines
        )

    def majority_exists(self) -> bool:
        """Whether the newest configuration on each voter's disk still has a majority of disks."""
        logs = [log for machine in self.machines if (log := machine.read_log()) is not None]
        there = {log.disk for log in logs}
        return all(
            len(there & set(voters)) > len(voters) // 2
            for log in logs
            for _, voters in log.configurations()[-1:]
        )

    def caught_up(self) -> bool:
        """Whether a settled leader stands and every machine has applied what it has."""
        leader = self.leader()
        if leader is None or leader.node is None or not leader.node.settled:
            return False
        node = leader.node
        return all(
            machine.node is not None and machine.node.applied >= node.applied
            for machine in self.machines
        )

    def finish(self) -> None:
        """Heal, wait for a leader and for all to catch up, then read, change and send again."""
        self.heal()
        self.world.run_until_about(self.all_left, DEPARTURE_SECONDS)
        self.heal()
        self.check()
        if not self.majority_exists():
            return
        if not self.world.run_until_about(self.caught_up, HEAL_SECONDS):
            self.check()
            if not self.majority_exists():
                return
            self.history.fail(LIVENESS, f"not healed in {HEAL_SECONDS} s: {self.describe()}")
            self.raise_found()
        self.check()
        self.check_serving()
        found = self.history.found
        if found is not None and found.invariant == LIVENESS and not self.majority_exists():
            return
        self.check()
        self.history.check_operations()
        self.raise_found()

    def check_serving(self) -> None:
        """Read, send the newest change again, and make another change."""
        newest = self.history.newest_acknowledged()
        for _ in range(CHANGE_ATTEMPTS):
            read = self.confirmed_read()
            if read is None:
                break
            version, identity = read.seen
            if newest is not None and identity == newest.identity:
                self.retry_change(newest.identity, read)
            newest = None
            if self.accepted(self.new_change(version, version + 1)):
                return
        self.history.fail(LIVENESS, f"no read and change after healing: {self.describe()}")

    def retry_change(self, identity: str, read: Operation) -> None:
        """The newest change must be acknowledged again, unless another was taken meanwhile."""
        if not self.accepted(self.change_named(identity)) and self.unchanged(read):
            self.history.fail(RETRY_ACKNOWLEDGED, f"{identity}: {self.describe()}")

    def unchanged(self, read: Operation) -> bool:
        """Whether a read finds what an earlier one found."""
        repeated = self.confirmed_read()
        return repeated is not None and repeated.seen == read.seen

    def change_named(self, identity: str) -> Change:
        """The change with an id."""
        return next(change for change in self.changes if change.identity == identity)

    def confirmed_read(self) -> Operation | None:
        """A read at whoever leads; tried again, as leadership may change in between."""
        until = self.world.time + HEAL_SECONDS
        while self.world.time < until:
            leader = self.leader()
            read = self.send_read(leader) if leader is not None else None
            if self.ended(read, READ_SECONDS):
                return read
        return None

    def accepted(self, change: Change) -> bool:
        """Whether a change is acknowledged; sent again while the outcome is unknown."""
        until = self.world.time + HEAL_SECONDS
        while self.world.time < until:
            leader = self.leader()
            operation = self.send_change(change, leader) if leader is not None else None
            ended = self.ended(operation)
            if ended and operation is not None and operation.status != NOT_TAKEN:
                return operation.status == ACCEPTED
        return False

    def ended(self, operation: Operation | None, seconds: float = CHANGE_SECONDS) -> bool:
        """Wait for the end of an operation; False where it did not end in time."""
        if operation is None:
            self.world.run(0.1)
            return False
        return self.world.run_until_about(lambda: operation.ended > 0, seconds)

    def describe(self) -> str:
        """What each process says of itself, for a finding."""
        found = []
        for machine in self.machines:
            node = machine.node
            if node is None:
                found.append(f"{machine.name} down")
                continue
            role = "leads" if node.leads else "follows"
            voter = "voter" if node.disk in node.voters else "spare"
            found.append(f"{machine.name} {role} {node.term} applied {node.applied} {voter}")
        return "; ".join(found)
