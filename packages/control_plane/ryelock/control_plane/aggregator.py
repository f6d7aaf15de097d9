"""The aggregator's duty: take rows, judge them, and have the verdict written.

Only the holder of the duty's present epoch takes rows and speaks. It starts with no history:
the probers tell it all that they keep. Until a span has passed in which they could have, it
writes what it knows, and what it does not know is unknown.
"""

from collections.abc import Callable

from ryelock.health import (
    Evaluation,
    EvaluationRules,
    History,
    ZoneWeights,
    decode_probe_result,
    evaluate,
    find_gone_watches,
)
from ryelock.membership import Membership
from ryelock.replicated_state import ReplicatedState, derived_name
from ryelock.rpc import Message
from ryelock.runtime import Scheduler, TaskCoroutine
from ryelock.settings import Settings
from ryelock.singleton import SingletonRole

REWRITE_SECONDS = 30.0
Decide = Callable[[Message], TaskCoroutine[bool]]


class Aggregator:
    __slots__ = (
        "clock",
        "decide",
        "epoch",
        "history",
        "membership",
        "name",
        "replicated_state",
        "rules",
        "scheduler",
        "settings",
        "weights",
        "written",
        "written_at",
    )

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        replicated_state: ReplicatedState,
        membership: Membership,
        decide: Decide,
    ) -> None:
        self.settings = settings
        self.name = settings.name
        self.scheduler = scheduler
        self.replicated_state = replicated_state
        self.membership = membership
        self.decide = decide
        self.clock: Callable[[], list[object]] = list
        self.rules = EvaluationRules(
            settings.verdict_rows,
            settings.verdict_quorum,
            settings.stale_seconds,
            settings.down_weight,
            settings.stale_weight,
        )
        self.epoch = -1
        self.history = History(settings.verdict_span)
        self.weights = ZoneWeights(settings.weight_span)
        self.written: tuple[object, ...] = ()
        self.written_at = -1e9

    def duty(self) -> SingletonRole | None:
        found = self.replicated_state.singletons.get("aggregator")
        return found if found is not None and found.owner == self.name else None

    def take_rows(self, message: Message) -> Message:
        """Rows from a prober; declined by whoever does not hold the duty of that epoch."""
        duty = self.duty()
        rows = message.get("rows")
        if duty is None or message.get("epoch") != duty.fencing_token or not isinstance(rows, list):
            return {"ok": False}
        self.begin(duty)
        now = self.scheduler.now()
        try:
            found = [decode_probe_result(plain, now) for plain in rows]
        except ValueError as error:
            return {"ok": False, "fault": str(error)}
        for row in found:
            if now - row.started_at <= self.history.retention_seconds:
                self.history.add(row)
        return {"ok": True}

    def begin(self, duty: SingletonRole) -> None:
        if duty.fencing_token != self.epoch:
            self.epoch = duty.fencing_token
            self.history = History(self.settings.verdict_span)
            self.written = ()

    async def work(self) -> None:
        while True:
            await self.scheduler.sleep(self.settings.verdict_seconds)
            self.weights.sample(list(self.membership.members().values()), self.scheduler.now())
            duty = self.duty()
            if duty is None:
                continue
            self.begin(duty)
            clock = self.clock()
            judged = self.evaluate()
            now = self.scheduler.now()
            words = (
                judged.network,
                tuple(judged.gone_watches),
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
                "holder": duty.owner,
                "epoch": duty.fencing_token,
                "clock": clock,
                "verdict": {
                    **judged.to_dict(),
                    "version": self.replicated_state.version,
                    "days": self.history.summary(),
                },
            }
            if await self.decide(message):
                self.written = words
                self.written_at = now

    def evaluate(self) -> Evaluation:
        now = self.scheduler.now()
        self.history.expire(now)
        watches = self.replicated_state.watches
        made = {name: watches[name] for name in map(derived_name, self.replicated_state.derived)}
        gone = find_gone_watches(made, self.history, self.rules, now)
        watches = {name: watch for name, watch in watches.items() if name not in gone}
        zones: dict[str, list[str]] = {}
        edges = {**self.membership.lost(), **self.membership.members()}
        for name, session in edges.items():
            if session.role == "edge":
                zones.setdefault(session.zone, []).append(name)
        weights, assumed = self.weights.weights(sorted(zones))
        judged = evaluate(zones, watches, weights, assumed, self.history, self.rules, now)
        judged.gone_watches = gone
        return judged
