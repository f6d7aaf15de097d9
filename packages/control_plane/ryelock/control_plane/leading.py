"""What the leader does with operators' orders: agree, wait for the edges, answer.

An answer says accepted only when the word stands on a majority of disks and no edge can
still serve without it. Not taken is certain; where it is not, the answer says unknown.
"""

from collections.abc import Callable

from ryelock.consensus import Consensus
from ryelock.control_plane.lease_renewal import LeaseRenewals
from ryelock.events import (
    CHANGE_ACCEPTED,
    CHANGE_REJECTED,
    PURGE_ACCEPTED,
    VERDICT_COMMITTED,
    VERDICT_OUTDATED,
    Log,
)
from ryelock.membership import Membership
from ryelock.replicated_state import (
    ReplicatedState,
    derived_targets,
    encode_command,
    merge_change,
    plan_change,
)
from ryelock.rpc import Message
from ryelock.runtime import Scheduler

ID_MOST = 200
LATE_SECONDS = 2.0
CONFIRM_SECONDS = 2.0
UNCONFIRMED = "no majority confirmed this leader"


class OperatorRequests:
    __slots__ = (
        "consensus",
        "log",
        "membership",
        "renewals",
        "replicas",
        "replicated_state",
        "scheduler",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        consensus: Consensus,
        replicated_state: ReplicatedState,
        membership: Membership,
        renewals: LeaseRenewals,
    ) -> None:
        self.scheduler = scheduler
        self.log = log
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.membership = membership
        self.renewals = renewals
        self.replicas: Callable[[], list[Message]] = list

    async def serve(self, message: Message) -> Message:
        """One operator's order at the leader."""
        if self.consensus.role != "leader":
            return {"status": "elsewhere"}
        what, given = message.get("what"), message.get("given")
        if what == "change":
            return await self.take("change", given, {"change": given})
        if what == "purge":
            scopes = given.get("scopes") if isinstance(given, dict) else None
            return await self.take("purge", given, {"scopes": scopes})
        if what in ("drain", "recover"):
            return await self.drain(what == "drain", given)
        if not await self.consensus.confirm_leadership(CONFIRM_SECONDS):
            return {"status": "not-taken", "reason": UNCONFIRMED}
        if what == "read":
            return {
                "version": self.replicated_state.version,
                "index": self.replicated_state.index,
                "configuration": self.replicated_state.configuration.to_wire(),
            }
        if what == "plan":
            return self.plan(given)
        if what == "verdicts":
            return self.record()
        if what == "members":
            return {
                "members": self.shown_members(),
                "voters": self.consensus.voters,
                "replicas": self.replicas(),
                "leader": self.consensus.name,
                "epoch": self.consensus.term,
            }
        return {"status": "malformed", "fault": "unknown order"}

    def plan(self, given: object) -> Message:
        """What a change would do to the version that stands, without doing it."""
        change = dict(given) if isinstance(given, dict) else {"patch": given}
        version = self.replicated_state.version
        change.setdefault("id", "plan")
        change.setdefault("base", version)
        if change["base"] != version:
            return {"status": "conflict", "version": version}
        found = merge_change(self.replicated_state.configuration, change)
        if found.is_error():
            return {"status": "invalid", "faults": found.error.to_wire(), "version": version}
        return {"base": version, "plan": plan_change(self.replicated_state.configuration, found.ok)}

    async def take(self, kind: str, given: object, fields: Message) -> Message:
        """A word with an id, agreed on and carried to every edge."""
        identity = given.get("id") if isinstance(given, dict) else None
        if not isinstance(identity, str) or not 0 < len(identity) <= ID_MOST:
            return {
                "status": "invalid",
                "faults": [{"path": "id", "fault": f"not a name of 1 to {ID_MOST} characters"}],
            }
        try:
            data = encode_command(kind, id=identity, wall=self.scheduler.clock.wall(), **fields)
        except (ValueError, TypeError, RecursionError, OverflowError):
            return {"status": "malformed", "fault": "not readable"}
        outcome = await self.consensus.propose(data)
        if outcome.is_error():
            status = "not-taken" if outcome.error.certain else "unknown"
            return {"status": status, "reason": outcome.error.reason, "id": identity}
        result = outcome.ok
        if not isinstance(result, dict):
            return {"status": "malformed", "id": identity}
        if result.get("status") != "accepted":
            self.log.write(CHANGE_REJECTED, id=identity, status=str(result.get("status")))
            return {**result, "id": identity}
        await self.renewals.leases.wait_until_in_force(int(str(result["index"])))
        self.log.write(
            PURGE_ACCEPTED if kind == "purge" else CHANGE_ACCEPTED,
            id=identity,
            version=result.get("version"),
            index=result["index"],
        )
        return {**result, "id": identity}

    async def claim(self, message: Message) -> Message:
        """A key is claimed by an order, or given back: noted on a majority of disks."""
        try:
            data = encode_command(str(message["kind"]), key=message["key"], order=message["order"])
        except (KeyError, ValueError, TypeError):
            return {"status": "malformed"}
        outcome = await self.consensus.propose_internal(data)
        if outcome.is_error():
            return {"status": "elsewhere" if outcome.error.certain else "unknown"}
        return outcome.ok if isinstance(outcome.ok, dict) else {"status": "malformed"}

    async def drain(self, on: bool, given: object) -> Message:
        """Drain or recover a node or a zone, unless the verdicts speak against it."""
        target = given.get("target") if isinstance(given, dict) else None
        if not isinstance(given, dict) or not isinstance(target, str) or not target:
            return {
                "status": "invalid",
                "faults": [{"path": "target", "fault": "not a node's name or zone:NAME"}],
            }
        reason = self.against_drain(target) if on else self.against_recover(target)
        forced = given.get("force") is True
        if reason and not forced:
            # A refusal is final: it may rest only on state that is certainly the newest.
            if not await self.consensus.confirm_leadership(CONFIRM_SECONDS):
                return {"status": "not-taken", "reason": UNCONFIRMED}
            reason = self.against_drain(target) if on else self.against_recover(target)
        if reason and not forced:
            return {"status": "declined", "reason": reason, "target": target}
        return await self.take(
            "drain",
            given,
            {
                "target": target,
                "on": on,
                "forced": forced and bool(reason),
                "reason": str(given.get("reason", "")),
            },
        )

    def zone_verdicts(self) -> dict[str, str]:
        zones = self.replicated_state.verdict.get("zones")
        if not isinstance(zones, dict):
            return {}
        return {str(zone): str(found.get("verdict")) for zone, found in zones.items()}

    def serving_edges(self) -> dict[str, list[str]]:
        """Edges that are members and not drained, by zone."""
        found: dict[str, list[str]] = {}
        for name, session in sorted(self.membership.members().items()):
            drains = self.replicated_state.drains
            if (
                session.role == "edge"
                and name not in drains
                and (f"zone:{session.zone}" not in drains)
            ):
                found.setdefault(session.zone, []).append(name)
        return found

    def against_drain(self, target: str) -> str:
        """Why the network needs what is to be drained; empty when it does not."""
        serving = self.serving_edges()
        verdicts = self.zone_verdicts()
        if target.startswith("zone:"):
            zone = target[5:]
            if zone not in {session.zone for session in self.membership.members().values()}:
                return f"there is no zone {zone}"
        else:
            session = self.membership.members().get(target)
            if session is None or session.role != "edge":
                return f"there is no edge {target}"
            zone = session.zone
            if [name for name in serving.get(zone, []) if name != target]:
                return ""
        others = [
            name for name in serving if name != zone and verdicts.get(name) in ("healthy", "stale")
        ]
        if others:
            return ""
        return (
            f"no other zone is known to serve: {verdicts or 'no verdict yet'}; "
            f"zone {zone} is needed"
        )

    def against_recover(self, target: str) -> str:
        if target not in self.replicated_state.drains:
            return f"{target} is not drained"
        zone = target[5:] if target.startswith("zone:") else ""
        if zone and self.zone_verdicts().get(zone) == "down":
            return f"zone {zone} is down by its verdict"
        return ""

    async def decide(self, message: Message) -> Message:
        """A verdict from the aggregator, taken when its duty's epoch still stands."""
        if self.consensus.role != "leader":
            return {"status": "elsewhere"}
        if not self.in_time(message):
            self.log.write(
                VERDICT_OUTDATED, holder=message.get("holder"), epoch=message.get("epoch")
            )
            return {"status": "late"}
        verdict = message.get("verdict")
        data = encode_command(
            "decision",
            holder=message.get("holder"),
            epoch=message.get("epoch"),
            verdict=verdict,
            wall=self.scheduler.clock.wall(),
        )
        outcome = await self.consensus.propose(data)
        if outcome.is_error():
            return {"status": "not-taken", "reason": outcome.error.reason}
        result = outcome.ok
        if isinstance(result, dict) and result.get("status") == "accepted":
            found = verdict if isinstance(verdict, dict) else {}
            self.log.write(
                VERDICT_COMMITTED,
                network=found.get("network"),
                zones=self.zone_verdicts(),
                epoch=message.get("epoch"),
            )
        return result if isinstance(result, dict) else {"status": "malformed"}

    def in_time(self, message: Message) -> bool:
        """Whether a verdict was judged lately: after a beat of this leader that is not old."""
        if message.get("holder") == self.consensus.name:
            return True
        match message.get("clock"):
            case [str(disk), float(clock)]:
                return (
                    disk == self.consensus.disk
                    and 0 <= self.scheduler.now() - clock <= LATE_SECONDS
                )
            case _:
                return False

    def shown_members(self) -> dict[str, object]:
        found: dict[str, object] = {}
        for name, session in sorted(self.membership.members().items()):
            found[name] = session.to_wire()
        for name, session in sorted(self.membership.lost().items()):
            found[name] = {**session.to_wire(), "gone": True, "ready": False}
        return found

    def record(self) -> Message:
        """Verdicts next to membership: the one record of what was decided."""
        replicated_state = self.replicated_state
        return {
            "index": replicated_state.index,
            "version": replicated_state.version,
            "verdict": replicated_state.verdict,
            "drains": replicated_state.drains,
            "derived": derived_targets(replicated_state.derived),
            "duties": replicated_state.singletons_to_wire(),
            "decisions": replicated_state.decisions[-100:],
            "members": self.shown_members(),
            "voters": self.consensus.voters,
            "leader": self.consensus.name,
            "epoch": self.consensus.term,
        }
