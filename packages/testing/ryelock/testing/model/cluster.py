"""A simulated cluster: control nodes on machines, operators, and an edge that requests leases."""

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
    DISK_READABLE,
    LIVENESS,
    NO_TASK_FAULT,
    RETRY_ACKNOWLEDGED,
    History,
    QuorumLeaseWindow,
)
from ryelock.testing.model.linearizability import (
    ACCEPTED,
    CHANGE,
    CONFLICT,
    NOT_EXECUTED,
    READ,
    UNKNOWN,
    Operation,
)
from ryelock.testing.model.network import RELIABLE, World

SEED_COUNT = 3
SEGMENT_BYTES = 1500
HEAL_SECONDS = 20.0
DEPARTURE_SECONDS = 12.0
QUORUM_LEASE_ROUND_SECONDS = 0.4
READ_SECONDS = 2.1
CHANGE_SECONDS = 12.0
CHANGE_ATTEMPTS = 4


class MachineClock:
    """A monotonic clock with drift; a stalled process reads the time at which its stall ends."""

    __slots__ = ("machine", "rate", "zero")

    def __init__(self, machine: "Machine") -> None:
        """Create a clock that reads 0 at time 0 of the world."""
        self.machine = machine
        self.rate = 1.0
        self.zero = 0.0

    def now(self) -> float:
        """Return the monotonic time of this machine in seconds."""
        return max(self.machine.world.time, self.machine.busy_until) * self.rate + self.zero

    def wall(self) -> float:
        """Return 0: consensus does not use the wall clock."""
        return 0.0

    def set_rate(self, rate: float) -> None:
        """Change the rate of the clock without a jump of its reading."""
        now = self.now()
        self.rate = rate
        self.zero += now - self.now()

    def world_time(self, reading: float) -> float:
        """Return the time of the world at which this clock reads `reading`."""
        return (reading - self.zero) / self.rate


class ModelRpcClients:
    """RPC clients of one process over the simulated network; replaces `ryelock.rpc.RpcClients`."""

    __slots__ = ("cluster", "machine", "pending_calls", "sequence")

    def __init__(self, cluster: "Cluster", machine: "Machine") -> None:
        """Create the clients of one incarnation of a machine's process."""
        self.cluster = cluster
        self.machine = machine
        self.sequence = 0
        self.pending_calls: dict[int, Queue[Message]] = {}

    async def call(
        self, address: str, message: Message, timeout: float
    ) -> Result[Message, NoResponseError]:
        """Send a request to another process; return an error if no response arrives in time."""
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
    """A simulated machine with a disk, a clock and at most one running process."""

    __slots__ = (
        "busy_until",
        "clock",
        "cluster",
        "departing",
        "folder",
        "frozen",
        "log",
        "log_change_count",
        "name",
        "node",
        "power_mode",
        "random",
        "rpc_clients",
        "scheduler",
        "world",
    )

    def __init__(self, cluster: "Cluster", name: str) -> None:
        """Create a machine with an empty disk and no process."""
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
        self.departing: ProductNode | None = None
        self.folder = self.new_folder()
        self.log: DiskLog | None = None
        self.log_change_count = -1

    def new_folder(self) -> ModelFolder:
        """Return an empty disk for this machine."""
        folder = ModelFolder(self.random)
        folder.on_stall = self.stall
        return folder

    def fault(self, task: str, error: BaseException) -> None:
        """Record that a task of the process ended with an unhandled exception."""
        self.cluster.history.record_violation(NO_TASK_FAULT, f"{self.name} {task}: {error!r}")

    def stall(self, seconds: float) -> None:
        """Block the process in a disk operation for `seconds`."""
        self.busy_until = max(self.world.time, self.busy_until) + seconds
        self.world.at(self.busy_until, lambda: None)

    # The `Process` protocol of the world

    def run(self) -> bool:
        """Run the ready tasks of the process; return True if there were any."""
        if self.node is None or self.frozen or self.busy_until > self.world.time:
            return False
        scheduler = self.scheduler
        if not scheduler.has_ready:
            timer = scheduler.next_timer()
            if timer is None or timer > self.clock.now():
                return False
        try:
            scheduler.run_ready(200)
        except Crash:
            self.kill(self.power_mode)
        return True

    def next_time(self) -> float | None:
        """Return the time of the world at which the next timer of the process is due, if any."""
        if self.node is None or self.frozen or self.busy_until > self.world.time:
            return None
        timer = self.scheduler.next_timer()
        return None if timer is None else self.clock.world_time(timer)

    # Process lifecycle

    def start(self) -> None:
        """Start a process on this disk; it stays down if the disk cannot be opened."""
        if self.node is not None:
            return
        self.scheduler = Scheduler(self.clock, self.fault)
        self.rpc_clients = ModelRpcClients(self.cluster, self)
        self.frozen = False
        self.folder.crash_point()
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
            self.cluster.history.record_violation(DISK_READABLE, f"{self.name}: {error!r}")

    def start_or_crash(self) -> None:
        """Start the process; an injected crash may end it while it starts."""
        try:
            self.start()
        except Crash:
            self.node = None
            self.kill(self.power_mode)

    def kill(self, power_mode: str) -> None:
        """Kill the process; a non-empty `power_mode` (see LossMode) also cuts the power."""
        self.node = None
        self.frozen = False
        self.busy_until = 0.0
        self.folder.crash_countdown = 0
        self.folder.stall_seconds = 0.0
        if power_mode:
            self.folder.lose_power(power_mode)

    def read_log(self) -> DiskLog | None:
        """Return the recovered durable state of the disk, cached until the disk changes."""
        if self.log_change_count != self.folder.change_count:
            try:
                self.log = read_disk(self.folder.durable_view(), SEGMENT_BYTES)
            except UNREADABLE as error:
                self.cluster.history.record_violation(DISK_READABLE, f"{self.name}: {error!r}")
                self.log = None
            self.log_change_count = self.folder.change_count
        return self.log


class Cluster:
    """Machines, world and history of one run, and the operations that schedules perform on them."""

    def __init__(self, seed: int, machines: int, snapshot_records: int) -> None:
        """Create the machines, all down."""
        self.seed = seed
        self.snapshot_records = snapshot_records
        self.random = Random(f"cluster {seed}")
        self.world = World(Random(f"world {seed}"))
        self.history = History()
        self.machines = [Machine(self, f"n{number}") for number in range(machines)]
        self.by_name = {machine.name: machine for machine in self.machines}
        self.seeds = tuple(machine.name for machine in self.machines[:SEED_COUNT])
        self.world.processes = list(self.machines)
        self.changes: list[Change] = []
        self.attempt_count = 0
        self.purge_count = 0

    # Messages

    def send_request(
        self, rpc_clients: ModelRpcClients, address: str, message: Message, number: int
    ) -> None:
        """Send a request to the process at an address, and its response back."""
        source, target = rpc_clients.machine, self.by_name[address]
        self.history.on_request(message)
        target_clients = target.rpc_clients

        def deliver() -> None:
            node = target.node
            if node is None or target.rpc_clients is not target_clients:
                return

            def reply(answer: Message) -> None:
                if message.get("kind") == RELEASE_REQUEST and answer.get("may_end") is True:
                    self.read_disks()
                    self.history.check_departure(str(message["disk"]))
                self.history.on_response(message, answer)
                self.world.send(
                    target.name,
                    source.name,
                    target.busy_until,
                    lambda: self.deliver_response(rpc_clients, number, answer),
                )

            node.answer(message, reply)

        self.world.send(source.name, target.name, source.busy_until, deliver)

    def deliver_response(self, rpc_clients: ModelRpcClients, number: int, answer: Message) -> None:
        """Deliver a response, unless the process that sent the request has ended or restarted."""
        responses = rpc_clients.pending_calls.get(number)
        if (
            responses is not None
            and rpc_clients.machine.rpc_clients is rpc_clients
            and rpc_clients.machine.node is not None
        ):
            responses.put(answer)

    # Invariant checks

    def check(self) -> None:
        """Read back all disks and raise the first recorded violation."""
        self.read_disks()
        self.raise_violation()

    def raise_violation(self) -> None:
        """Raise the first recorded violation, if any."""
        if self.history.violation is not None:
            raise self.history.violation

    # Current leaders: used to direct steps, not for invariants

    def leader(self, pick: int = 0) -> Machine | None:
        """Return a machine whose process has the leader role, ordered by descending term.

        Several can have it at once, since a partitioned leader steps down only after a while.
        """
        found = [
            machine for machine in self.machines if machine.node is not None and machine.node.leads
        ]
        found.sort(key=lambda machine: -machine.node.term if machine.node is not None else 0)
        return found[pick % len(found)] if found else None

    def current_leaders(self) -> set[tuple[str, int]]:
        """Return name and term of every process that has the leader role."""
        return {
            (machine.name, machine.node.term)
            for machine in self.machines
            if machine.node is not None and machine.node.leads
        }

    # Operators

    def new_change(self, base: int, version: int) -> Change:
        """Return a change with a new id."""
        change = Change(f"c{len(self.changes)}", base, version, 0)
        self.changes.append(change)
        return change

    def send_change(self, change: Change, machine: Machine) -> Operation | None:
        """Start an attempt of a change at a leader; its outcome is recorded in the history."""
        node = machine.node
        if node is None or not node.leads:
            return None
        self.attempt_count += 1
        attempt = Change(change.identity, change.base, change.version, self.attempt_count)
        operation = Operation(
            CHANGE, change.identity, change.base, change.version, self.history.next_event()
        )
        operation.node = machine.name
        self.history.operations.append(operation)
        machine.scheduler.create_task(
            self.run_change(machine, node, attempt, operation), name="operator"
        )
        return operation

    async def run_change(
        self, machine: Machine, node: ProductNode, change: Change, operation: Operation
    ) -> None:
        """Send one attempt and record its outcome."""
        outcome = await node.change(change)
        operation.ended = self.history.next_event()
        if outcome.certain:
            operation.status = NOT_EXECUTED
            self.history.record_rejection(change)
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
            raise AssertionError(f"change {change.identity}: unexpected status {outcome.status!r}")

    def send_read(self, machine: Machine) -> Operation | None:
        """Start a confirmed read at a leader."""
        node = machine.node
        if node is None or not node.leads:
            return None
        operation = Operation(READ, "", 0, 0, self.history.next_event())
        operation.node = machine.name
        self.history.operations.append(operation)
        machine.scheduler.create_task(self.run_read(node, operation), name="operator")
        return operation

    async def run_read(self, node: ProductNode, operation: Operation) -> None:
        """Read and record the result; an unconfirmed read stays open."""
        result = await node.read()
        if result is not None:
            operation.ended = self.history.next_event()
            operation.result = result
            operation.status = ACCEPTED

    def send_purge(self, machine: Machine) -> None:
        """Start a purge at a leader."""
        node = machine.node
        if node is not None and node.leads:
            self.purge_count += 1
            machine.scheduler.create_task(
                self.run_purge(machine, node, self.purge_count), name="operator"
            )

    async def run_purge(self, machine: Machine, node: ProductNode, number: int) -> None:
        """Purge and record the acknowledgement."""
        index = await node.purge(number)
        if index:
            self.read_disks()
            self.history.acknowledge_command(index, node.disk, self.world.time)

    def read_disks(self) -> None:
        """Recover the state of all disks and check it."""
        found = [log for machine in self.machines if (log := machine.read_log()) is not None]
        self.history.check_disks(found)

    def change_voters(self, machine: Machine, wanted: dict[str, str]) -> None:
        """Request a voter change from a leader, concurrently with its voter manager."""
        node = machine.node
        if node is not None:
            machine.scheduler.create_task(node.change_voters(wanted), name="voters")

    def leave(self, machine: Machine) -> None:
        """Stop a node gracefully; its process ends after its release or a timeout."""
        node = machine.node
        if node is not None and machine.departing is not node:
            machine.departing = node
            machine.scheduler.create_task(self.leave_and_end(machine, node), name="leave")

    async def leave_and_end(self, machine: Machine, node: ProductNode) -> None:
        """Leave the consensus group, then end the process."""
        await node.leave()
        self.world.at(self.world.time, lambda: self.end(machine, node))

    def end(self, machine: Machine, node: ProductNode) -> None:
        """End a process unless the machine already runs another incarnation."""
        if machine.node is node:
            machine.kill("")

    # Edge

    def request_quorum_lease(self) -> None:
        """Request a quorum lease from all nodes, as an edge without contact to a leader does."""
        requested_at = self.world.time
        votes: list[QuorumLeaseVote] = []
        granted = [False]
        message: Message = {"kind": "council.promise", "seconds": QUORUM_LEASE_SECONDS}

        def on_response(answer: Message) -> None:
            vote = decode_vote(answer)
            if (
                granted[0]
                or vote is None
                or self.world.time > requested_at + QUORUM_LEASE_ROUND_SECONDS
            ):
                return
            votes.append(vote)
            if is_quorum(votes):
                granted[0] = True
                last = max(vote.last_index for vote in votes)
                self.history.lease_windows.append(
                    QuorumLeaseWindow(self.world.time, requested_at + QUORUM_LEASE_SECONDS, last)
                )

        for machine in self.machines:
            self.send_from_edge(machine, message, on_response)

    def send_from_edge(
        self, machine: Machine, message: Message, on_response: Callable[[Message], None]
    ) -> None:
        """Send a request from the edge to one node."""

        def deliver() -> None:
            if machine.node is not None:
                machine.node.answer(message, reply)

        def reply(answer: Message) -> None:
            self.world.send(machine.name, "edge", machine.busy_until, lambda: on_response(answer))

        self.world.send("edge", machine.name, self.world.time, deliver)

    # Loss of disks

    def can_wipe(self, machine: Machine) -> bool:
        """Return True if every recent configuration keeps a majority of disks without this one."""
        logs = {other.name: log for other in self.machines if (log := other.read_log()) is not None}
        own_log = logs.pop(machine.name, None)
        if own_log is None:
            return True
        present = {log.disk for log in logs.values()}
        configurations = [
            voters for log in (*logs.values(), own_log) for _, voters in log.configurations()[-2:]
        ]
        if not configurations:
            return False
        return all(
            own_log.disk not in voters or len(present & set(voters)) > len(voters) // 2
            for voters in configurations
        )

    def wipe(self, machine: Machine) -> None:
        """Replace a machine's disk by an empty one, unless that would lose a majority."""
        if self.can_wipe(machine):
            self.check()
            machine.kill("")
            machine.folder = machine.new_folder()
            machine.log_change_count = -1

    # Healing and liveness

    def heal(self) -> None:
        """End all network and disk faults and start the machines that are down."""
        self.world.cuts.clear()
        self.world.conditions = RELIABLE
        for machine in self.machines:
            machine.folder.repair()
            machine.frozen = False
            machine.start_or_crash()

    def all_departed(self) -> bool:
        """Return True if no graceful stop is in progress."""
        return all(
            machine.node is None or machine.node is not machine.departing
            for machine in self.machines
        )

    def has_majority(self) -> bool:
        """Return True if the newest configuration on each disk has a majority of its disks left."""
        logs = [log for machine in self.machines if (log := machine.read_log()) is not None]
        present = {log.disk for log in logs}
        return all(
            len(present & set(voters)) > len(voters) // 2
            for log in logs
            for _, voters in log.configurations()[-1:]
        )

    def all_caught_up(self) -> bool:
        """Return True if there is a ready leader and every node has applied as much as it has."""
        leader = self.leader()
        if leader is None or leader.node is None or not leader.node.ready:
            return False
        node = leader.node
        return all(
            machine.node is not None and machine.node.applied >= node.applied
            for machine in self.machines
        )

    def finish(self) -> None:
        """Heal the cluster, wait until all nodes have caught up, and check that it is available.

        Liveness is not required where a configuration has lost the majority of its disks.
        """
        self.heal()
        self.world.run_until_about(self.all_departed, DEPARTURE_SECONDS)
        self.heal()
        self.check()
        if not self.has_majority():
            return
        if not self.world.run_until_about(self.all_caught_up, HEAL_SECONDS):
            self.check()
            if not self.has_majority():
                return
            self.history.record_violation(
                LIVENESS, f"cluster did not recover within {HEAL_SECONDS} s: {self.describe()}"
            )
            self.raise_violation()
        self.check()
        self.check_serving()
        found = self.history.violation
        if found is not None and found.invariant == LIVENESS and not self.has_majority():
            return
        self.check()
        self.history.check_operations()
        self.raise_violation()

    def check_serving(self) -> None:
        """Check that a read, a retry of the newest change and a new change succeed."""
        newest = self.history.newest_acknowledged()
        for _ in range(CHANGE_ATTEMPTS):
            read = self.confirmed_read()
            if read is None:
                break
            version, identity = read.result
            if newest is not None and identity == newest.identity:
                self.retry_change(newest.identity, read)
            newest = None
            if self.send_until_decided(self.new_change(version, version + 1)):
                return
        self.history.record_violation(
            LIVENESS, f"read or change failed after healing: {self.describe()}"
        )

    def retry_change(self, identity: str, read: Operation) -> None:
        """Check that the newest change is acknowledged again, unless another one followed it."""
        if not self.send_until_decided(self.find_change(identity)) and self.is_read_unchanged(read):
            self.history.record_violation(
                RETRY_ACKNOWLEDGED, f"change {identity}: {self.describe()}"
            )

    def is_read_unchanged(self, read: Operation) -> bool:
        """Return True if a new read returns the result of an earlier one."""
        latest = self.confirmed_read()
        return latest is not None and latest.result == read.result

    def find_change(self, identity: str) -> Change:
        """Return the change with an id."""
        return next(change for change in self.changes if change.identity == identity)

    def confirmed_read(self) -> Operation | None:
        """Read at the current leader; retry while leadership changes. None after a timeout."""
        until = self.world.time + HEAL_SECONDS
        while self.world.time < until:
            leader = self.leader()
            read = self.send_read(leader) if leader is not None else None
            if self.wait_for_end(read, READ_SECONDS):
                return read
        return None

    def send_until_decided(self, change: Change) -> bool:
        """Send a change until its outcome is decided; return True if it is acknowledged."""
        until = self.world.time + HEAL_SECONDS
        while self.world.time < until:
            leader = self.leader()
            operation = self.send_change(change, leader) if leader is not None else None
            ended = self.wait_for_end(operation)
            if ended and operation is not None and operation.status != NOT_EXECUTED:
                return operation.status == ACCEPTED
        return False

    def wait_for_end(self, operation: Operation | None, seconds: float = CHANGE_SECONDS) -> bool:
        """Wait for the end of an operation; return False after a timeout."""
        if operation is None:
            self.world.run(0.1)
            return False
        return self.world.run_until_about(lambda: operation.ended > 0, seconds)

    def describe(self) -> str:
        """Return the role, term and progress of each node, for the detail of a violation."""
        found = []
        for machine in self.machines:
            node = machine.node
            if node is None:
                found.append(f"{machine.name} not running")
                continue
            role = "leader" if node.leads else "follower"
            voter = "voter" if node.disk in node.voters else "learner"
            found.append(f"{machine.name} {role} term {node.term} applied {node.applied} {voter}")
        return "; ".join(found)
