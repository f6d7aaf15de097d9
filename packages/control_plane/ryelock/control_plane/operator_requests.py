"""Operators' requests at the leader.

A change is answered with ACCEPTED once its command is committed and no edge can still serve without
it. NOT_TAKEN means that the command is certainly not committed; UNKNOWN means that it may be.
"""

from ryelock.consensus import Consensus, Role
from ryelock.control_api import OperatorAction, OperatorRequest, OutcomeStatus
from ryelock.control_plane.drain_policy import DrainPolicy
from ryelock.control_plane.edge_leases import EdgeLeases
from ryelock.control_plane.errors import InvalidRequestError, UnconfirmedLeadershipError
from ryelock.control_plane.voters import VoterManager
from ryelock.events import CHANGE_ACCEPTED, CHANGE_REJECTED, PURGE_ACCEPTED, Log
from ryelock.membership import Membership
from ryelock.replicated_state import (
    ReplicatedState,
    decode_command,
    derived_targets,
    encode_command,
    merge_change,
    plan_change,
)
from ryelock.rpc import Message
from ryelock.runtime import Scheduler

MAX_ID_CHARACTERS = 200
CONFIRMATION_TIMEOUT_SECONDS = 2.0
MAX_SHOWN_DECISIONS = 100


class OperatorRequests:
    """Answers operators' requests if this node leads."""

    __slots__ = (
        "consensus",
        "drain_policy",
        "leases",
        "log",
        "membership",
        "replicated_state",
        "scheduler",
        "voters",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        consensus: Consensus,
        replicated_state: ReplicatedState,
        membership: Membership,
        leases: EdgeLeases,
        voters: VoterManager,
    ) -> None:
        """Create the request handler of one node."""
        self.scheduler = scheduler
        self.log = log
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.membership = membership
        self.leases = leases
        self.voters = voters
        self.drain_policy = DrainPolicy(replicated_state, membership)

    async def serve(self, message: Message) -> Message:
        """Answer one operator's request, with ELSEWHERE if this node does not lead."""
        if self.consensus.role != Role.LEADER:
            return {"status": OutcomeStatus.ELSEWHERE}
        try:
            return await self.serve_request(OperatorRequest.from_wire(message))
        except InvalidRequestError as error:
            return {
                "status": OutcomeStatus.INVALID,
                "faults": [{"path": error.path, "fault": error.fault}],
            }
        except UnconfirmedLeadershipError as error:
            return {"status": OutcomeStatus.NOT_TAKEN, "reason": str(error)}

    async def serve_request(self, request: OperatorRequest) -> Message:
        """Commit a change, or answer a read from state that is confirmed to be the newest.

        Raises:
            InvalidRequestError: a field is missing or malformed.
            UnconfirmedLeadershipError: another leader may have been elected.
        """
        payload = request.payload
        match request.action:
            case OperatorAction.CHANGE:
                return await self.commit("change", payload, {"change": payload})
            case OperatorAction.PURGE:
                scopes = payload.get("scopes") if isinstance(payload, dict) else None
                return await self.commit("purge", payload, {"scopes": scopes})
            case OperatorAction.DRAIN:
                return await self.drain(True, payload)
            case OperatorAction.RECOVER:
                return await self.drain(False, payload)
        await self.confirm_leadership()
        return self.answer_read(request)

    def answer_read(self, request: OperatorRequest) -> Message:
        """Return the answer to a request that changes nothing."""
        match request.action:
            case OperatorAction.READ:
                return self.show_configuration()
            case OperatorAction.PLAN:
                return self.plan(request.payload)
            case OperatorAction.HEALTH:
                return self.show_health()
            case OperatorAction.MEMBERS:
                return self.show_members()
        return {"status": OutcomeStatus.MALFORMED, "fault": "unknown order"}

    async def confirm_leadership(self) -> None:
        """Have a majority confirm that this node still leads.

        Raises:
            UnconfirmedLeadershipError: no majority did so in time.
        """
        if not await self.consensus.confirm_leadership(CONFIRMATION_TIMEOUT_SECONDS):
            raise UnconfirmedLeadershipError

    # Changes.

    async def commit(self, kind: str, payload: object, fields: Message) -> Message:
        """Commit a command with the request's id, and wait until it is in force at all edges.

        Args:
            kind: kind of the command.
            payload: the request's payload, which has the id.
            fields: the command's other fields.
        """
        request_id = parse_request_id(payload)
        try:
            data = encode_command(kind, id=request_id, wall=self.scheduler.clock.wall(), **fields)
        except (ValueError, TypeError, RecursionError, OverflowError):
            return {"status": OutcomeStatus.MALFORMED, "fault": "not readable"}
        if decode_command(data) is None:
            return {"status": OutcomeStatus.MALFORMED, "fault": "not readable"}
        outcome = await self.consensus.propose(data)
        if outcome.is_error():
            certain = outcome.error.certain
            status = OutcomeStatus.NOT_TAKEN if certain else OutcomeStatus.UNKNOWN
            return {"status": status, "reason": outcome.error.reason, "id": request_id}
        result = outcome.ok
        if not isinstance(result, dict):
            return {"status": OutcomeStatus.MALFORMED, "id": request_id}
        if result.get("status") != OutcomeStatus.ACCEPTED:
            self.log.write(CHANGE_REJECTED, id=request_id, status=str(result.get("status")))
            return {**result, "id": request_id}
        await self.leases.wait_until_in_force(int(str(result["index"])))
        self.log.write(
            PURGE_ACCEPTED if kind == "purge" else CHANGE_ACCEPTED,
            id=request_id,
            version=result.get("version"),
            index=result["index"],
        )
        return {**result, "id": request_id}

    async def drain(self, drains: bool, payload: object) -> Message:
        """Drain or recover a node or a zone, unless the drain policy objects.

        Args:
            drains: True to drain, False to recover.
            payload: has the target, `force` to override the policy, and the operator's reason.

        Raises:
            InvalidRequestError: the id or the target is missing or malformed.
            UnconfirmedLeadershipError: an objection may rest on outdated state.
        """
        target = payload.get("target") if isinstance(payload, dict) else None
        if not isinstance(payload, dict) or not isinstance(target, str) or not target:
            raise InvalidRequestError("target", "not a node's name or zone:NAME")
        is_forced = payload.get("force") is True
        objection = self.drain_policy.objection(target, drains)
        if objection and not is_forced:
            # A rejection is final, so it must rest on state that is confirmed to be the newest.
            await self.confirm_leadership()
            objection = self.drain_policy.objection(target, drains)
        if objection and not is_forced:
            return {"status": OutcomeStatus.REJECTED, "reason": objection, "target": target}
        fields: Message = {
            "target": target,
            "on": drains,
            "forced": is_forced and bool(objection),
            "reason": str(payload.get("reason", "")),
        }
        return await self.commit("drain", payload, fields)

    # Reads.

    def plan(self, payload: object) -> Message:
        """Return the effects of a change to the current version, without applying it."""
        change = dict(payload) if isinstance(payload, dict) else {"patch": payload}
        configuration = self.replicated_state.configuration
        version = self.replicated_state.version
        change.setdefault("id", "plan")
        change.setdefault("base", version)
        if change["base"] != version:
            return {"status": OutcomeStatus.CONFLICT, "version": version}
        merged = merge_change(configuration, change)
        if merged.is_error():
            faults = merged.error.to_wire()
            return {"status": OutcomeStatus.INVALID, "faults": faults, "version": version}
        return {"base": version, "plan": plan_change(configuration, merged.ok)}

    def show_configuration(self) -> Message:
        """Return the current configuration with its version."""
        return {
            "version": self.replicated_state.version,
            "index": self.replicated_state.index,
            "configuration": self.replicated_state.configuration.to_wire(),
        }

    def show_members(self) -> Message:
        """Return the members, and the consensus group as the leader knows it."""
        return {
            "members": self.member_records(),
            "voters": self.consensus.voters,
            "replicas": self.voters.replicas(),
            "leader": self.consensus.name,
            "epoch": self.consensus.term,
        }

    def member_records(self) -> dict[str, object]:
        """Return the members, then the lost edges, each sorted by name."""
        records: dict[str, object] = {}
        for name, session in sorted(self.membership.members().items()):
            records[name] = session.to_wire()
        for name, session in sorted(self.membership.lost().items()):
            records[name] = {**session.to_wire(), "gone": True, "ready": False}
        return records

    def show_health(self) -> Message:
        """Return the health status, past decisions, roles and membership."""
        state = self.replicated_state
        return {
            "index": state.index,
            "version": state.version,
            "verdict": state.verdict,
            "drains": state.drains,
            "derived": derived_targets(state.derived),
            "duties": state.singletons_to_wire(),
            "decisions": state.decisions[-MAX_SHOWN_DECISIONS:],
            "members": self.member_records(),
            "voters": self.consensus.voters,
            "leader": self.consensus.name,
            "epoch": self.consensus.term,
        }


def parse_request_id(payload: object) -> str:
    """Return the id of an operator's request; raises InvalidRequestError."""
    request_id = payload.get("id") if isinstance(payload, dict) else None
    if not isinstance(request_id, str) or not 0 < len(request_id) <= MAX_ID_CHARACTERS:
        raise InvalidRequestError("id", f"not a name of 1 to {MAX_ID_CHARACTERS} characters")
    return request_id
