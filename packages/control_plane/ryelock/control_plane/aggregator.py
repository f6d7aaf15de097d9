"""The aggregator: evaluates probe results and submits health decisions to the leader.

Only the owner of the aggregator role accepts results and submits decisions, both under its current
fencing token. A new owner starts without history; the probers send it all results that they keep.
Until those arrive, health is reported as unknown.
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

RESUBMIT_SECONDS = 30.0
"""Interval at which an unchanged decision is committed again."""
SubmitDecision = Callable[[Message], TaskCoroutine[bool]]
PeerClock = Callable[[], list[object]]


class Aggregator:
    """Evaluates health while this node owns the aggregator role."""

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
        "submitted_at",
        "submitted_decision",
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
            replicated_state: the watches and the owner of the role.
            membership: the edges whose zones are evaluated.
            submit: submits a decision and returns True if it was committed.
            peer_clock: returns the disk and clock in the leader's last heartbeat.
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
        self.submitted_decision: tuple[object, ...] = ()
        self.submitted_at: float | None = None

    def owned_role(self) -> SingletonRole | None:
        """Return the aggregator role if this node owns it, else None."""
        role = self.replicated_state.singletons.get(AGGREGATOR_ROLE)
        return role if role is not None and role.owner == self.settings.name else None

    def receive_results(self, message: Message) -> Message:
        """Record a prober's results if this node owns the role under the token in the message."""
        role = self.owned_role()
        rows = message.get("rows")
        if role is None or message.get("epoch") != role.fencing_token or not isinstance(rows, list):
            return {"ok": False}
        self.reset_on_new_token(role)
        now = self.scheduler.now()
        try:
            results = [decode_probe_result(row, now) for row in rows]
        except ValueError as error:
            return {"ok": False, "fault": str(error)}
        for result in results:
            if now - result.started_at <= self.history.retention_seconds:
                self.history.add(result)
        return {"ok": True}

    def reset_on_new_token(self, role: SingletonRole) -> None:
        """Drop the history under a new fencing token, as another node may have evaluated since."""
        if role.fencing_token != self.fencing_token:
            self.fencing_token = role.fencing_token
            self.history = History(self.settings.verdict_span)
            self.submitted_decision = ()

    async def run(self) -> None:
        """Evaluate periodically while this node owns the role."""
        while True:
            await self.scheduler.sleep(self.settings.verdict_seconds)
            self.weights.sample(list(self.membership.members().values()), self.scheduler.now())
            role = self.owned_role()
            if role is not None:
                self.reset_on_new_token(role)
                await self.evaluate_and_submit(role)

    async def evaluate_and_submit(self, role: SingletonRole) -> None:
        """Evaluate, and submit the decision if it has changed or is due again."""
        # Read before the evaluation, so that the decision's age is never underestimated.
        clock = self.peer_clock()
        evaluation = self.evaluate()
        now = self.scheduler.now()
        decision = decision_key(evaluation)
        if not evaluation.zones or (
            decision == self.submitted_decision and not self.is_due_again(now)
        ):
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
            self.submitted_decision = decision
            self.submitted_at = now

    def is_due_again(self, now: float) -> bool:
        """Return True if an unchanged decision is due to be committed again."""
        return self.submitted_at is None or now - self.submitted_at >= RESUBMIT_SECONDS

    def evaluate(self) -> Evaluation:
        """Evaluate the health of all zones from the results in the history."""
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


def decision_key(evaluation: Evaluation) -> tuple[object, ...]:
    """Return the decided statuses of an evaluation, for comparison with other decisions."""
    return (
        evaluation.network,
        tuple(evaluation.gone_watches),
        *(
            (zone, decided.status, *decided.failed)
            for zone, decided in sorted(evaluation.zones.items())
        ),
    )
