"""The aggregator's role: take probe results, evaluate them, and have decisions committed.

Only the owner of the role, under its present fencing token, takes results and submits decisions. It
starts without history: the probers send it all results that they keep. What it does not know yet is
reported as unknown.
"""

from collections.abc import Callable

from ryelock.control_plane.health_decisions import DECISION_REQUEST
from ryelock.control_plane.singleton_roles import AGGREGATOR_ROLE
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
from ryelock.settings import NodeRole, Settings
from ryelock.singleton import SingletonRole

REPEAT_SECONDS = 30.0
"""An unchanged decision is committed again after so long."""
SubmitDecision = Callable[[Message], TaskCoroutine[bool]]
PeerClock = Callable[[], list[object]]


class Aggregator:
    """Evaluates health where this node owns the role."""

    __slots__ = (
        "fencing_token",
        "history",
        "membership",
        "peer_clock",
        "replicated_state",
        "rules",
        "scheduler",
        "settings",
        "submit",
        "submitted",
        "submitted_at",
        "weights",
    )

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        replicated_state: ReplicatedState,
        membership: Membership,
        submit: SubmitDecision,
        peer_clock: PeerClock,
    ) -> None:
        """Create an aggregator without history.

        Args:
            settings: the node's settings.
            scheduler: clock and tasks.
            replicated_state: watches, and who owns the role.
            membership: edges whose zones are evaluated.
            submit: has a decision committed; False where it was not.
            peer_clock: returns disk and clock of the leader's last heartbeat.
        """
        self.settings = settings
        self.scheduler = scheduler
        self.replicated_state = replicated_state
        self.membership = membership
        self.submit = submit
        self.peer_clock = peer_clock
        self.rules = EvaluationRules(
            settings.verdict_rows,
            settings.verdict_quorum,
            settings.stale_seconds,
            settings.down_weight,
            settings.stale_weight,
        )
        self.fencing_token: int | None = None
        self.history = History(settings.verdict_span)
        self.weights = ZoneWeights(settings.weight_span)
        self.submitted: tuple[object, ...] = ()
        self.submitted_at: float | None = None

    def owned_role(self) -> SingletonRole | None:
        """Return the role where this node owns it."""
        role = self.replicated_state.singletons.get(AGGREGATOR_ROLE)
        return role if role is not None and role.owner == self.settings.name else None

    def receive_results(self, message: Message) -> Message:
        """Take a prober's results; rejected unless this node owns the role under their token."""
        role = self.owned_role()
        rows = message.get("rows")
        if role is None or message.get("epoch") != role.fencing_token or not isinstance(rows, list):
            return {"ok": False}
        self.begin_tenure(role)
        now = self.scheduler.now()
        try:
            results = [decode_probe_result(row, now) for row in rows]
        except ValueError as error:
            return {"ok": False, "fault": str(error)}
        for result in results:
            if now - result.started_at <= self.history.retention_seconds:
                self.history.add(result)
        return {"ok": True}

    def begin_tenure(self, role: SingletonRole) -> None:
        """Start without history under a new fencing token: others have evaluated since."""
        if role.fencing_token != self.fencing_token:
            self.fencing_token = role.fencing_token
            self.history = History(self.settings.verdict_span)
            self.submitted = ()

    async def run(self) -> None:
        """Evaluate for the life of the process, while this node owns the role."""
        while True:
            await self.scheduler.sleep(self.settings.verdict_seconds)
            self.weights.sample(list(self.membership.members().values()), self.scheduler.now())
            role = self.owned_role()
            if role is not None:
                self.begin_tenure(role)
                await self.decide(role)

    async def decide(self, role: SingletonRole) -> None:
        """Evaluate, and submit the decision where it is a new one or due again."""
        # Read before the evaluation: the decision is as old as the heartbeat it was made under.
        clock = self.peer_clock()
        evaluation = self.evaluate()
        now = self.scheduler.now()
        decision = decision_of(evaluation)
        if not evaluation.zones or (decision == self.submitted and not self.is_due_again(now)):
            return
        message: Message = {
            "kind": DECISION_REQUEST,
            "holder": role.owner,
            "epoch": role.fencing_token,
            "clock": clock,
            "verdict": {
                **evaluation.to_dict(),
                "version": self.replicated_state.version,
                "days": self.history.summary(),
            },
        }
        if await self.submit(message):
            self.submitted = decision
            self.submitted_at = now

    def is_due_again(self, now: float) -> bool:
        """Tell whether the last decision is so old that it is committed again unchanged."""
        return self.submitted_at is None or now - self.submitted_at >= REPEAT_SECONDS

    def evaluate(self) -> Evaluation:
        """Return the health of all zones by the results of the retention time."""
        now = self.scheduler.now()
        self.history.expire(now)
        watches = self.replicated_state.watches
        derived = {name: watches[name] for name in map(derived_name, self.replicated_state.derived)}
        gone = find_gone_watches(derived, self.history, self.rules, now)
        watches = {name: watch for name, watch in watches.items() if name not in gone}
        zones: dict[str, list[str]] = {}
        edges = {**self.membership.lost(), **self.membership.members()}
        for name, session in edges.items():
            if session.role == NodeRole.EDGE:
                zones.setdefault(session.zone, []).append(name)
        shares = self.weights.shares(sorted(zones))
        evaluation = evaluate(zones, watches, shares, self.history, self.rules, now)
        evaluation.gone_watches = gone
        return evaluation


def decision_of(evaluation: Evaluation) -> tuple[object, ...]:
    """Return what of an evaluation is decided, without the figures that it rests on."""
    return (
        evaluation.network,
        tuple(evaluation.gone_watches),
        *(
            (zone, decided.status, *decided.failed)
            for zone, decided in sorted(evaluation.zones.items())
        ),
    )
