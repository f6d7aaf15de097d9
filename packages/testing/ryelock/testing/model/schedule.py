"""Schedules of steps and injected faults: generation, execution, shrinking and encoding."""

import json
from dataclasses import dataclass, field
from random import Random

from ryelock.testing.model.adapter import ProductNode, batch_limit
from ryelock.testing.model.cluster import Cluster, Machine
from ryelock.testing.model.disk import Crash, Fault, LossMode
from ryelock.testing.model.network import NETWORK_CONDITIONS
from ryelock.testing.model.violation import ViolationError

Step = tuple[str, int, int, int]
"""The kind of a step, which names a method of `Runner`, and its arguments."""

RUN_SECONDS = (0.02, 0.1, 0.3, 0.8, 1.6, 3.0)
CLOCK_RATES = (1.0, 0.99, 1.01)
MAX_ARGUMENT = 59
MAX_STEPS = 30
MOTIF_PROBABILITY = 0.25
MAX_ELECTION_SECONDS = 3.0
BATCH_BYTES = (1, 1_048_576)
FAULT_COUNTS = (1, 1, 2, 4, 12, 40)

STEP_WEIGHTS: dict[str, int] = {
    "run": 12,
    "change": 8,
    "race": 4,
    "resend": 4,
    "read": 5,
    "purge": 2,
    "kill": 3,
    "power": 4,
    "crash_at": 5,
    "start": 7,
    "wipe": 2,
    "cut": 4,
    "isolate": 4,
    "split": 1,
    "rejoin": 3,
    "heal": 4,
    "freeze": 2,
    "thaw": 2,
    "stall": 2,
    "fault": 3,
    "weather": 3,
    "rate": 1,
    "election": 3,
    "hand_over": 2,
    "leave": 1,
    "promise": 2,
    "voters": 1,
}
LEADER = 2
"""As the first argument of a step: selects a current leader."""

ALL_MACHINES = 0
"""As the argument of "start": start every machine that is down."""

Pattern = tuple[str, int | None, int | None, int | None]
"""A step template; arguments that are None are drawn at random."""


def pattern(
    kind: str, first: int | None = None, second: int | None = None, third: int | None = None
) -> Pattern:
    """Return a step template of a motif."""
    return kind, first, second, third


MOTIFS: dict[str, tuple[Pattern, ...]] = {
    "stale read": (
        pattern("freeze", LEADER),
        pattern("election"),
        pattern("change"),
        pattern("run", 1),
        pattern("read", 0),
        pattern("read", 1),
        pattern("thaw"),
    ),
    "leaders one after another": (
        pattern("isolate", LEADER),
        pattern("change"),
        pattern("election"),
        pattern("isolate", LEADER),
        pattern("rejoin"),
        pattern("election"),
        pattern("run"),
        pattern("isolate", LEADER),
        pattern("rejoin"),
        pattern("election"),
        pattern("change"),
        pattern("heal"),
    ),
    "promises and a restart": (
        pattern("split"),
        pattern("run", 4),
        pattern("promise"),
        pattern("run", 0),
        pattern("kill"),
        pattern("power"),
        pattern("start", ALL_MACHINES),
        pattern("heal"),
        pattern("run", 3),
        pattern("change"),
    ),
    "a disk fails for long": (
        pattern("isolate"),
        pattern("change"),
        pattern("fault"),
        pattern("heal"),
        pattern("change"),
        pattern("purge"),
        pattern("change"),
        pattern("run"),
        pattern("change"),
        pattern("run"),
        pattern("power"),
        pattern("start", ALL_MACHINES),
    ),
    "a disk fails while entries come": (
        pattern("weather", 3),
        pattern("purge"),
        pattern("run", 0),
        pattern("purge"),
        pattern("fault"),
        pattern("purge"),
        pattern("run", 1),
        pattern("change"),
        pattern("run", 1),
        pattern("purge"),
        pattern("run", 2),
        pattern("change"),
        pattern("run", 2),
    ),
    "a lost disk and a change of leader": (
        pattern("isolate"),
        pattern("change"),
        pattern("run", 1),
        pattern("wipe"),
        pattern("power", LEADER),
        pattern("heal"),
        pattern("start"),
        pattern("run"),
        pattern("change"),
        pattern("start", ALL_MACHINES),
    ),
    "an old entry counted late": (
        pattern("isolate", LEADER, 0),
        pattern("change", 0),
        pattern("weather", 3),
        pattern("election"),
        pattern("isolate", LEADER, 0),
        pattern("rejoin"),
        pattern("election"),
        pattern("run", 1),
        pattern("isolate", LEADER, 0),
        pattern("rejoin"),
        pattern("election"),
        pattern("weather", 0),
        pattern("change", 0),
        pattern("run", 2),
        pattern("heal"),
        pattern("run", 3),
    ),
    "a write fails": (
        pattern("change"),
        pattern("run", 1),
        pattern("change"),
        pattern("run", 1),
        pattern("fault", 0, 0, 0),
        pattern("change"),
        pattern("run", 2),
        pattern("change"),
        pattern("run", 1),
    ),
    "two changes of voters": (
        pattern("freeze", LEADER),
        pattern("voters"),
        pattern("voters"),
        pattern("thaw"),
        pattern("run", 2),
    ),
    "a change of voters and promises": (
        pattern("voters", LEADER),
        pattern("run", 0),
        pattern("isolate", None, 0),
        pattern("run", 4),
        pattern("promise"),
        pattern("run", 0),
        pattern("change"),
        pattern("heal"),
    ),
    "killed before a sync": (
        pattern("crash_at", None, None, 0),
        pattern("change"),
        pattern("run", 1),
        pattern("change"),
        pattern("run", 2),
        pattern("start", ALL_MACHINES),
        pattern("run", 2),
        pattern("change"),
    ),
    "a voter leaves and another is lost": (
        pattern("isolate"),
        pattern("change"),
        pattern("leave"),
        pattern("run"),
        pattern("heal"),
        pattern("wipe"),
        pattern("run", 3),
        pattern("start", ALL_MACHINES),
    ),
}
STEP_KINDS = tuple(STEP_WEIGHTS)
EXCLUDABLE_KINDS = frozenset((*STEP_KINDS, *(f"fault {kind}" for kind in Fault.ALL)))


@dataclass(frozen=True, slots=True)
class Schedule:
    """The seed of random draws, the cluster size and the steps of one run.

    `without` excludes kinds of steps, or single kinds of disk fault ("fault full").
    """

    seed: int
    machines: int
    snapshot_records: int
    steps: tuple[Step, ...]
    without: frozenset[str] = field(default_factory=frozenset)

    def encode(self) -> str:
        """Return the schedule as one line of JSON."""
        return json.dumps(
            {
                "seed": self.seed,
                "machines": self.machines,
                "image_records": self.snapshot_records,
                "without": sorted(self.without),
                "steps": self.steps,
            }
        )

    def with_steps(self, steps: tuple[Step, ...]) -> "Schedule":
        """Return a copy of the schedule with other steps."""
        return Schedule(self.seed, self.machines, self.snapshot_records, steps, self.without)


def decode_schedule(text: str) -> Schedule:
    """Return the schedule that `Schedule.encode` wrote as JSON."""
    decoded = json.loads(text)
    steps = tuple(
        (str(kind), int(first), int(second), int(third))
        for kind, first, second, third in decoded["steps"]
    )
    return Schedule(
        decoded["seed"],
        decoded["machines"],
        decoded["image_records"],
        steps,
        frozenset(decoded.get("without", ())),
    )


def draw(seed: int, without: frozenset[str] = frozenset(), motif: str = "") -> Schedule:
    """Return the random schedule of a seed; a given motif is inserted frequently."""
    random = Random(f"schedule {seed}")
    kinds = [kind for kind in STEP_KINDS if kind not in without]
    weights = [STEP_WEIGHTS[kind] * random.choice((0, 1, 1, 2)) for kind in kinds]
    weights[kinds.index("run")] = STEP_WEIGHTS["run"]
    weights[kinds.index("change")] = STEP_WEIGHTS["change"]
    motif_probability = MOTIF_PROBABILITY if motif else random.choice((0.0, 0.05, 0.15))
    chosen = motif or random.choice(list(MOTIFS))
    length = random.randint(8, MAX_STEPS)
    steps: list[Step] = []
    while len(steps) < length:
        if random.random() < motif_probability:
            steps += (
                draw_step(random, *template) for template in MOTIFS[chosen] if template[0] in kinds
            )
        else:
            steps.append(draw_step(random, random.choices(kinds, weights)[0]))
    machines = random.choice((3, 3, 3, 4, 5))
    snapshot_records = random.choice((8, 15, 30, 1000))
    return Schedule(seed, machines, snapshot_records, tuple(steps), without)


def draw_step(random: Random, kind: str, *fixed: int | None) -> Step:
    """Return a step; arguments that are missing or None are drawn at random.

    All three are drawn in any case, so that a fixed argument does not shift later draws.
    """
    drawn = [random.randint(0, MAX_ARGUMENT) for _ in range(3)]
    for position, argument in enumerate(fixed):
        if argument is not None:
            drawn[position] = argument
    return kind, drawn[0], drawn[1], drawn[2]


class Runner:
    """Runs one schedule; each kind of step is a method of the same name."""

    __slots__ = ("cluster", "schedule")

    def __init__(self, schedule: Schedule) -> None:
        """Create the cluster of a schedule, with all machines down."""
        self.schedule = schedule
        self.cluster = Cluster(schedule.seed, schedule.machines, schedule.snapshot_records)

    def execute(self) -> None:
        """Run the schedule; raise ViolationError after the first step that breaks an invariant."""
        with batch_limit(BATCH_BYTES[self.schedule.seed % len(BATCH_BYTES)]):
            self.execute_steps()

    def execute_steps(self) -> None:
        """Start all machines, run the steps, then heal the cluster and check that it recovers."""
        cluster = self.cluster
        for machine in cluster.machines:
            machine.start_or_crash()
        cluster.world.run(1.5)
        cluster.check()
        for kind, *arguments in self.schedule.steps:
            if kind not in self.schedule.without:
                getattr(self, kind)(*arguments)
                cluster.world.run(0.004)
                cluster.check()
        cluster.finish()

    def pick_machine(self, pick: int) -> Machine:
        """Return a leader if `pick` is 2 modulo 3 and there is one, else the machine it selects."""
        leader = self.cluster.leader(pick)
        if pick % 3 == 2 and leader is not None:
            return leader
        return self.cluster.machines[pick // 3 % len(self.cluster.machines)]

    # Time and network

    def run(self, pick: int, *_: int) -> None:
        """Advance the simulated time."""
        self.cluster.world.run(RUN_SECONDS[pick % len(RUN_SECONDS)])

    def cut(self, target: int, peer: int, direction: int) -> None:
        """Drop messages from one machine to another, in both directions if `direction` is odd."""
        first, second = self.pick_machine(target), self.pick_machine(peer)
        self.cluster.world.cuts.add((first.name, second.name))
        if direction % 2:
            self.cluster.world.cuts.add((second.name, first.name))

    def isolate(self, target: int, direction: int, _: int) -> None:
        """Partition a machine from all others, in one or both directions."""
        machine = self.pick_machine(target)
        for other in self.cluster.machines:
            if other is not machine:
                if direction % 4 != 1:
                    self.cluster.world.cuts.add((machine.name, other.name))
                if direction % 4 != 2:
                    self.cluster.world.cuts.add((other.name, machine.name))

    def split(self, *_: int) -> None:
        """Partition every machine from every other one."""
        for one in self.cluster.machines:
            for other in self.cluster.machines:
                if one is not other:
                    self.cluster.world.cuts.add((one.name, other.name))

    def rejoin(self, target: int, *_: int) -> None:
        """Heal the partitions of a machine, except those between it and the leader."""
        machine, leader = self.pick_machine(target), self.cluster.leader(target)
        spared = leader.name if leader is not None and leader is not machine else ""
        self.cluster.world.cuts = {
            cut for cut in self.cluster.world.cuts if machine.name not in cut or spared in cut
        }

    def heal(self, *_: int) -> None:
        """Heal all partitions."""
        self.cluster.world.cuts.clear()

    def weather(self, pick: int, *_: int) -> None:
        """Change the loss, duplication and delay of messages."""
        self.cluster.world.conditions = NETWORK_CONDITIONS[pick % len(NETWORK_CONDITIONS)]

    def freeze(self, target: int, *_: int) -> None:
        """Suspend a process, which keeps its memory."""
        self.pick_machine(target).frozen = True

    def thaw(self, *_: int) -> None:
        """Resume all suspended processes."""
        for machine in self.cluster.machines:
            machine.frozen = False

    def rate(self, target: int, pick: int, _: int) -> None:
        """Set the drift of a machine's clock."""
        self.pick_machine(target).clock.set_rate(CLOCK_RATES[pick % len(CLOCK_RATES)])

    # Processes and disks

    def kill(self, target: int, *_: int) -> None:
        """Kill a process; its machine keeps power, so unsynced writes stay readable."""
        self.pick_machine(target).kill("")

    def power(self, target: int, pick: int, _: int) -> None:
        """Cut the power of a machine; unsynced writes may be lost."""
        self.pick_machine(target).kill(LossMode.ALL[pick % len(LossMode.ALL)])

    def crash_at(self, target: int, delay: int, pick: int) -> None:
        """Crash the process at a later disk operation, for some picks with a loss of power."""
        machine = self.pick_machine(target)
        machine.folder.crash_countdown = 1 + delay % 16
        modes = ("", *LossMode.ALL) if "kill" not in self.schedule.without else LossMode.ALL
        machine.power_mode = modes[pick % len(modes)]

    def start(self, target: int, *_: int) -> None:
        """Start one machine if it is down, or all of them for an even number."""
        if target % 2:
            self.pick_machine(target).start_or_crash()
            return
        for machine in self.cluster.machines:
            machine.start_or_crash()

    def wipe(self, target: int, *_: int) -> None:
        """Replace a machine's disk by an empty one, if committed entries survive that."""
        self.cluster.wipe(self.pick_machine(target))

    def stall(self, target: int, pick: int, _: int) -> None:
        """Block the process in its next sync to disk."""
        self.pick_machine(target).folder.stall_seconds = (0.1, 0.5, 1.0, 3.0)[pick % 4]

    def fault(self, target: int, pick: int, count: int) -> None:
        """Inject failures into the next operations of a disk."""
        kinds = [kind for kind in Fault.ALL if f"fault {kind}" not in self.schedule.without]
        if kinds:
            kind = kinds[pick % len(kinds)]
            self.pick_machine(target).folder.fault = Fault(
                kind, count // len(FAULT_COUNTS) % 4, FAULT_COUNTS[count % len(FAULT_COUNTS)]
            )

    # Operators

    def change(self, target: int, stale: int, _: int) -> None:
        """Send a change based on the newest version, sometimes on the version before it."""
        leader = self.cluster.leader(target)
        if leader is not None:
            base = self.cluster.history.newest_version()
            if stale % 6 == 0:
                base = max(0, base - 1)
            self.cluster.send_change(self.cluster.new_change(base, base + 1), leader)

    def race(self, target: int, other_target: int, spacing: int) -> None:
        """Send two changes with the same base and version, together or after a short delay."""
        base = self.cluster.history.newest_version()
        for pick in (target, other_target):
            leader = self.cluster.leader(pick)
            if leader is not None:
                self.cluster.send_change(self.cluster.new_change(base, base + 1), leader)
            if spacing % 3 == 0:
                self.cluster.world.run(0.05)

    def resend(self, target: int, pick: int, _: int) -> None:
        """Retry one of the latest changes."""
        changes = self.cluster.changes
        leader = self.cluster.leader(target)
        if changes and leader is not None:
            self.cluster.send_change(changes[-1 - pick % min(3, len(changes))], leader)

    def read(self, target: int, *_: int) -> None:
        """Send a confirmed read to a leader."""
        leader = self.cluster.leader(target)
        if leader is not None:
            self.cluster.send_read(leader)

    def purge(self, target: int, count: int, _: int) -> None:
        """Send several purges to a leader."""
        leader = self.cluster.leader(target)
        for _number in range(1 + count % 6):
            if leader is not None:
                self.cluster.send_purge(leader)

    # Leadership and membership

    def election(self, *_: int) -> None:
        """Run until a new leader is elected, and stop at that moment."""
        before = self.cluster.current_leaders()
        self.cluster.world.run_until(
            lambda: bool(self.cluster.current_leaders() - before), MAX_ELECTION_SECONDS
        )

    def hand_over(self, target: int, *_: int) -> None:
        """Transfer leadership to another node."""
        leader = self.cluster.leader(target)
        if leader is not None and leader.node is not None:
            leader.scheduler.create_task(leader.node.hand_over(), name="hand over")

    def leave(self, target: int, *_: int) -> None:
        """Stop a node gracefully: it leaves the consensus group before its process ends."""
        self.cluster.leave(self.pick_machine(target))

    def promise(self, *_: int) -> None:
        """Request a quorum lease as an edge."""
        self.cluster.request_quorum_lease()

    def voters(self, target: int, pick: int, _: int) -> None:
        """Request a voter change from a leader: remove a voter or add a learner."""
        leader = self.cluster.leader(target)
        if leader is not None and leader.node is not None:
            self.cluster.change_voters(leader, alternative_voters(leader.node, pick))


def alternative_voters(node: ProductNode, pick: int) -> dict[str, str]:
    """Return the voters of a node with one learner added or one voter removed."""
    voters = node.voters
    fresh = sorted(disk for disk in node.learners if disk not in voters)
    if fresh and pick % 2:
        voters[fresh[0]] = node.learners[fresh[0]]
        return voters
    others = sorted(disk for disk in voters if disk != node.disk)
    if others:
        del voters[others[pick % len(others)]]
    return voters


def run_schedule(schedule: Schedule) -> ViolationError | None:
    """Run a schedule; return the violation of an invariant, or None if all held."""
    try:
        Runner(schedule).execute()
    except ViolationError as violation:
        return violation
    except Crash as error:
        raise AssertionError("an injected crash escaped from the simulated process") from error
    return None


def shrink(schedule: Schedule, invariant: str, max_attempts: int = 600) -> Schedule:
    """Return a schedule with fewer steps that still breaks the same invariant.

    Removes runs of steps, first half of them at once, and keeps each removal after which the
    invariant is still broken; runs at most `max_attempts` schedules.
    """
    steps = list(schedule.steps)
    size = max(1, len(steps) // 2)
    while size and max_attempts:
        position = 0
        while position < len(steps) and max_attempts:
            max_attempts -= 1
            fewer = tuple(steps[:position] + steps[position + size :])
            found = run_schedule(schedule.with_steps(fewer))
            if found is not None and found.invariant == invariant:
                steps = list(fewer)
            else:
                position += size
        size //= 2
    return schedule.with_steps(tuple(steps))
