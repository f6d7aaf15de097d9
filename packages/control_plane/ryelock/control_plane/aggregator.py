"""The aggregator's duty: take rows, judge them, and have the verdict written.

Only the holder of the duty's present epoch takes rows and speaks. It starts with no history:
the probers tell it all that they keep. Until a span has passed in which they could have, it
writes what it knows, and what it does not know is unknown.
"""

from collections.abc import Callable

from ryelock.health import History, Judged, Rules, Weights, gone_watches, judge, row_of
from ryelock.membership import Roster
from ryelock.replicated_state import Register, derived_name
from ryelock.rpc import Message
from ryelock.runtime import Scheduler, TaskCoroutine
from ryelock.settings import Env
from ryelock.singleton import Duty

REWRITE_SECONDS = 30.0
Decide = Callable[[Message], TaskCoroutine[bool]]


class Aggregator:
    __slots__ = (
        "clock",
        "decide",
        "env",
        "epoch",
        "history",
        "name",
        "register",
        "roster",
        "rules",
        "scheduler",
        "weights",
        "written",
        "written_at",
    )

    def __init__(
        self, env: Env, scheduler: Scheduler, register: Register, roster: Roster, decide: Decide
    ) -> None:
        self.env = env
        self.name = env.name
        self.scheduler = scheduler
        self.register = register
        self.roster = roster
        self.decide = decide
        self.clock: Callable[[], list[object]] = list
        self.rules = Rules(
            env.verdict_rows,
            env.verdict_quorum,
            env.stale_seconds,
            env.down_weight,
            env.stale_weight,
        )
        self.epoch = -1
        self.history = History(env.verdict_span)
        self.weights = Weights(env.weight_span)
        self.written: tuple[object, ...] = ()
        self.written_at = -1e9

    def duty(self) -> Duty | None:
        found = self.register.duties.get("aggregator")
        return found if found is not None and found.holder == self.name else None

    def take_rows(self, message: Message) -> Message:
        """Rows from a prober; declined by whoever does not hold the duty of that epoch."""
        duty = self.duty()
        rows = message.get("rows")
        if duty is None or message.get("epoch") != duty.epoch or not isinstance(rows, list):
            return {"ok": False}
        self.begin(duty)
        now = self.scheduler.now()
        try:
            found = [row_of(plain, now) for plain in rows]
        except ValueError as error:
            return {"ok": False, "fault": str(error)}
        for row in found:
            if now - row.taken <= self.history.span:
                self.history.add(row)
        return {"ok": True}

    def begin(self, duty: Duty) -> None:
        if duty.epoch != self.epoch:
            self.epoch = duty.epoch
            self.history = History(self.env.verdict_span)
            self.written = ()

    async def work(self) -> None:
        while True:
            await self.scheduler.sleep(self.env.verdict_seconds)
            self.weights.sample(list(self.roster.members().values()), self.scheduler.now())
            duty = self.duty()
            if duty is None:
                continue
            self.begin(duty)
            clock = self.clock()
            judged = self.judge()
            now = self.scheduler.now()
            words = (
                judged.network,
                tuple(judged.gone),
                *(
                    (zone, found.verdict, *found.failed)
                    for zone, found in sorted(judged.zones.items())
                ),
            )
            if words == self.written and now - self.written_at < REWRITE_SECONDS:
                continue
            if not judged.zones:
                continue
            message: Message = {
                "kind": "decision",
                "holder": duty.holder,
                "epoch": duty.epoch,
                "clock": clock,
                "verdict": {
                    **judged.plain(),
                    "version": self.register.version,
                    "days": self.history.summary(),
                },
            }
            if await self.decide(message):
                self.written = words
                self.written_at = now

    def judge(self) -> Judged:
        now = self.scheduler.now()
        self.history.forget_old(now)
        watches = self.register.watches
        made = {name: watches[name] for name in map(derived_name, self.register.derived)}
        gone = gone_watches(made, self.history, self.rules, now)
        watches = {name: watch for name, watch in watches.items() if name not in gone}
        zones: dict[str, list[str]] = {}
        edges = {**self.roster.lost(), **self.roster.members()}
        for name, session in edges.items():
            if session.role == "edge":
                zones.setdefault(session.zone, []).append(name)
        weights, assumed = self.weights.weights(sorted(zones))
        judged = judge(zones, watches, weights, assumed, self.history, self.rules, now)
        judged.gone = gone
        return judged
