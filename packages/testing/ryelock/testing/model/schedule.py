"""Schedules: steps as data, how they are drawn, run, shrunk and written down."""

import json
from dataclasses import dataclass, field
from random import Random

from ryelock.testing.model.adapter import ProductNode, batch_limit
from ryelock.testing.model.cluster import Cluster, Machine
from ryelock.testing.model.disk import Crash, Fault, LossMode
from ryelock.testing.model.network import WEATHERS
from ryelock.testing.model.violation import ViolationError

Step = tuple[str, int, int, int]
RUN_SECONDS = (0.02, 0.1, 0.3, 0.8, 1.6, 3.0)
RATES = (1.0, 0.99, 1.01)
ARGUMENT_MOST = 59
STEPS_MOST = 30
MOTIF_SHARE = 0.25
ELECTION_SECONDS_MOST = 3.0
BATCHES = (1, 1_048_576)
FAULT_COUNTS = (1, 1, 2, 4, 12, 40)

WEIGHTS: dict[str, int] = {
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
"""As a step's first argument: the machine that leads."""

ALL_MACHINES = 0
"""As the argument of "start": all that are down."""

Pattern = tuple[str, int | None, int | None, int | None]
"""A step whose arguments are drawn where they are None."""


def pattern(
    kind: str, one: int | None = None, two: int | None = None, three: int | None = None
) -> Pattern:
    """A step of a motif."""
    return kind, one, two, three


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
KINDS = tuple(WEIGHTS)
LEFT_OUT = frozenset((*KINDS, *(f"fault {kind}" for kind in Fault.ALL)))


@dataclass(frozen=True, slots=True)
class Schedule:
    """A seed of delays and losses, the size of the cluster, and the steps.

    `without` names kinds of steps (or "fault" with a kind of fault) that are left out.
    """

    seed: int
    machines: int
    snapshot_records: int
    steps: tuple[Step, ...]
    without: frozenset[str] = field(default_factory=frozenset)

    def encode(self) -> str:
        """The schedule as one line of JSON."""
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
        """The same schedule with other steps."""
        return Schedule(self.seed, self.machines, self.snapshot_records, steps, self.without)


def decode_schedule(text: str) -> Schedule:
    """A schedule from the JSON of `Schedule.encode`."""
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
    """The schedule of a seed; with a motif, one in which that motif comes often."""
    random = Random(f"schedule {seed}")
    kinds = [kind for kind in KINDS if kind not in without]
    weights = [WEIGHTS[kind] * random.choice((0, 1, 1, 2)) for kind in kinds]
    weights[kinds.index("run")] = WEIGHTS["run"]
    weights[kinds.index("change")] = WEIGHTS["change"]
    motif_share = MOTIF_SHARE if motif else random.choice((0.0, 0.05, 0.15))
    chosen = motif or random.choice(list(MOTIFS))
    length = random.randint(8, STEPS_MOST)
    steps: list[Step] = []
    while len(steps) < length:
        if random.random() < motif_share:
            steps += (step_of(random, *given) for given in MOTIFS[chosen] if given[0] in kinds)
        else:
            steps.append(step_of(random, random.choices(kinds, weights)[0]))
    machines = random.choice((3, 3, 3, 4, 5))
    snapshot_records = random.choice((8, 15, 30, 1000))
    return Schedule(seed, machines, snapshot_records, tuple(steps), without)


def step_of(random: Random, kind: str, *given: int | None) -> Step:
    """A step; arguments that are not given are drawn."""
    drawn = [random.randint(0, ARGUMENT_MOST) for _ in range(3)]
    for position, argument in enumerate(given):
        if argument is not None:
            drawn[position] = argument
    return kind, drawn[0], drawn[1], drawn[2]


class Runner:
    """Runs one schedule; each step is a method."""

    __slots__ = ("cluster", "schedule")

    def __init__(self, schedule: Schedule) -> None:
        """A cluster for a schedule, not started yet."""
        self.schedule = schedule
        self.cluster = Cluster(schedule.seed, schedule.machines, schedule.snapshot_records)

    def play(self) -> None:
        """Raises ViolationError at the first step after which an invariant does not hold."""
        with batch_limit(BATCHES[self.schedule.seed % len(BATCHES)]):
            self.play_steps()

    def play_steps(self) -> None:
        """Start all machines, run the steps, heal and finish."""
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

    def machine(self, pick: int) -> Machine:
        """The leader for a third of the numbers, else the machine with that number."""
        leader = self.cluster.leader(pick)
        if pick % 3 == 2 and leader is not None:
            return leader
        return self.cluster.machines[pick // 3 % len(self.cluster.machines)]

    # Time and network.

    def run(self, pick: int, *_: int) -> None:
        """Let time pass."""
        self.cluster.world.run(RUN_SECONDS[pick % len(RUN_SECONDS)])

    def cut(self, one: int, other: int, way: int) -> None:
        """Cut the path from one machine to another, or both ways."""
        first, second = self.machine(one), self.machine(other)
        self.cluster.world.cuts.add((first.name, second.name))
        if way % 2:
            self.cluster.world.cuts.add((second.name, first.name))

    def isolate(self, one: int, way: int, _: int) -> None:
        """Cut a machine off from all others, or one way only."""
        machine = self.machine(one)
        for other in self.cluster.machines:
            if other is not machine:
                if way % 4 != 1:
                    self.cluster.world.cuts.add((machine.name, other.name))
                if way % 4 != 2:
                    self.cluster.world.cuts.add((other.name, machine.name))

    def split(self, *_: int) -> None:
        """No node reaches another one."""
        for one in self.cluster.machines:
            for other in self.cluster.machines:
                if one is not other:
                    self.cluster.world.cuts.add((one.name, other.name))

    def rejoin(self, one: int, *_: int) -> None:
        """All cuts of one machine heal, except towards the one that leads."""
        machine, leader = self.machine(one), self.cluster.leader(one)
        spared = leader.name if leader is not None and leader is not machine else ""
        self.cluster.world.cuts = {
            cut for cut in self.cluster.world.cuts if machine.name not in cut or spared in cut
        }

    def heal(self, *_: int) -> None:
        """End all cuts."""
        self.cluster.world.cuts.clear()

    def weather(self, pick: int, *_: int) -> None:
        """Change losses and delays."""
        self.cluster.world.weather = WEATHERS[pick % len(WEATHERS)]

    def freeze(self, one: int, *_: int) -> None:
        """Stop a process without ending it."""
        self.machine(one).frozen = True

    def thaw(self, *_: int) -> None:
        """Let all stopped processes run on."""
        for machine in self.cluster.machines:
            machine.frozen = False

    def rate(self, one: int, pick: int, _: int) -> None:
        """Let a machine's clock run faster or slower."""
        self.machine(one).clock.set_rate(RATES[pick % len(RATES)])

    # Processes and disks.

    def kill(self, one: int, *_: int) -> None:
        """End a process; its machine keeps power."""
        self.machine(one).kill("")

    def power(self, one: int, pick: int, _: int) -> None:
        """Take the power from a machine."""
        self.machine(one).kill(LossMode.ALL[pick % len(LossMode.ALL)])

    def crash_at(self, one: int, points: int, pick: int) -> None:
        """Crash at a later point of the disk; every other time the power goes too."""
        machine = self.machine(one)
        machine.folder.crash_in = 1 + points % 16
        modes = ("", *LossMode.ALL) if "kill" not in self.schedule.without else LossMode.ALL
        machine.power_mode = modes[pick % len(modes)]

    def start(self, one: int, *_: int) -> None:
        """Start a machine that is down; with an even number, all of them."""
        if one % 2:
            self.machine(one).start_or_crash()
            return
        for machine in self.cluster.machines:
            machine.start_or_crash()

    def wipe(self, one: int, *_: int) -> None:
        """Replace a machine's disk by an empty one."""
        self.cluster.wipe(self.machine(one))

    def stall(self, one: int, pick: int, _: int) -> None:
        """Let the next sync of a disk block the process."""
        self.machine(one).folder.stall_seconds = (0.1, 0.5, 1.0, 3.0)[pick % 4]

    def fault(self, one: int, pick: int, count: int) -> None:
        """Let operations of a disk fail."""
        kinds = [kind for kind in Fault.ALL if f"fault {kind}" not in self.schedule.without]
        if kinds:
            kind = kinds[pick % len(kinds)]
            self.machine(one).folder.fault = Fault(
                kind, count // len(FAULT_COUNTS) % 4, FAULT_COUNTS[count % len(FAULT_COUNTS)]
            )

    # Operators.

    def change(self, one: int, stale: int, _: int) -> None:
        """Make a change on the newest version, at times on the one before."""
        leader = self.cluster.leader(one)
        if leader is not None:
            base = self.cluster.history.newest_version()
            if stale % 6 == 0:
                base = max(0, base - 1)
            self.cluster.send_change(self.cluster.new_change(base, base + 1), leader)

    def race(self, one: int, other: int, apart: int) -> None:
        """Two changes with one base and one number, at once or shortly after another."""
        base = self.cluster.history.newest_version()
        for pick in (one, other):
            leader = self.cluster.leader(pick)
            if leader is not None:
                self.cluster.send_change(self.cluster.new_change(base, base + 1), leader)
            if apart % 3 == 0:
                self.cluster.world.run(0.05)

    def resend(self, one: int, pick: int, _: int) -> None:
        """Send one of the last changes again."""
        changes = self.cluster.changes
        leader = self.cluster.leader(one)
        if changes and leader is not None:
            self.cluster.send_change(changes[-1 - pick % min(3, len(changes))], leader)

    def read(self, one: int, *_: int) -> None:
        """Read at a node that leads."""
        leader = self.cluster.leader(one)
        if leader is not None:
            self.cluster.send_read(leader)

    def purge(self, one: int, count: int, _: int) -> None:
        """Send a few purges."""
        leader = self.cluster.leader(one)
        for _number in range(1 + count % 6):
            if leader is not None:
                self.cluster.send_purge(leader)

    # Leadership and membership.

    def election(self, *_: int) -> None:
        """Run until another leader stands, and stop at that moment."""
        before = self.cluster.leading()
        self.cluster.world.run_until(
            lambda: bool(self.cluster.leading() - before), ELECTION_SECONDS_MOST
        )

    def hand_over(self, one: int, *_: int) -> None:
        """Hand leadership on."""
        leader = self.cluster.leader(one)
        if leader is not None and leader.node is not None:
            leader.scheduler.create_task(leader.node.hand_over(), name="hand over")

    def leave(self, one: int, *_: int) -> None:
        """A planned stop: the consensus group ends in order, then the process."""
        self.cluster.leave(self.machine(one))

    def promise(self, *_: int) -> None:
        """Ask for promises as the edge."""
        self.cluster.request_quorum_lease()

    def voters(self, one: int, pick: int, _: int) -> None:
        """Ask the leader for another set of voters: one out, or a learner in."""
        leader = self.cluster.leader(one)
        if leader is not None and leader.node is not None:
            self.cluster.change_voters(leader, other_voters(leader.node, pick))


def other_voters(node: ProductNode, pick: int) -> dict[str, str]:
    """The voters of a node with one more or one fewer."""
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
    """The invariant that a schedule broke, or None."""
    try:
        Runner(schedule).play()
    except ViolationError as violation:
        return violation
    except Crash as error:
        raise AssertionError("a crash outside of a process") from error
    return None


def shrink(schedule: Schedule, invariant: str, attempts_most: int = 600) -> Schedule:
    """Leave out steps as long as the same invariant stays broken."""
    steps = list(schedule.steps)
    size = max(1, len(steps) // 2)
    while size and attempts_most:
        position = 0
        while position < len(steps) and attempts_most:
            attempts_most -= 1
            fewer = tuple(steps[:position] + steps[position + size :])
            found = run_schedule(schedule.with_steps(fewer))
            if found is not None and found.invariant == invariant:
                steps = list(fewer)
            else:
                position += size
        size //= 2
    return schedule.with_steps(tuple(steps))
