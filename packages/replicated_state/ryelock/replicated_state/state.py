"""The replicated state machine, which control nodes and every edge apply the log to.

Applying a command returns its outcome. The outcome of a command with an id is stored, so that a
retry of the command gets the first outcome and is not applied twice. Applying must be deterministic
on every node: no clock, no randomness, no iteration over a set.
"""

from collections.abc import Callable
from typing import TypeVar

import cbor2

from ryelock.replicated_state.change import merge_change
from ryelock.replicated_state.claims import Claims, claim_key
from ryelock.replicated_state.commands import (
    KIND_FIELD,
    CommandFields,
    CommandKind,
    decode_command,
)
from ryelock.replicated_state.configuration import Configuration, Watch
from ryelock.replicated_state.derived import (
    derivable_routes,
    derived_name,
    derived_targets,
    derived_watches,
    retained_watches,
)
from ryelock.replicated_state.drain import Drain, drain_from_wire
from ryelock.replicated_state.errors import Fault, MalformedSnapshotError
from ryelock.replicated_state.outcomes import (
    CommandStatus,
    Outcome,
    Outcomes,
    invalid_outcome,
    make_outcome,
)
from ryelock.replicated_state.parsing import parse_configuration
from ryelock.replicated_state.purge import Purge, parse_purge_scopes
from ryelock.singleton import SingletonRole

MAX_PURGES = 2000
"""Retained purges; an edge that missed an older one clears its cache."""
MAX_DECISIONS = 500
"""Retained records of past drains, recoveries and verdicts."""
AGGREGATOR = "aggregator"
"""The singleton role whose owner records verdicts."""
VerdictFields = dict[str, object]
"""A health verdict on the network as the aggregator proposed it; see ryelock.health."""
FieldType = TypeVar("FieldType")


class ReplicatedState:
    """Configuration, purges, drains, singleton roles and health verdicts, all at one log index.

    Attributes:
        index: log index of the last applied entry.
        version: version of the configuration.
        configuration: services, routes, watches and limits that operators set.
        purge_number: number of the newest purge.
        purges: the newest purges, oldest first.
        drains: drained edges by name and drained zones by `zone:NAME`.
        singletons: singleton roles by name.
        decisions: past drains, recoveries and verdicts as the control API returns them, oldest
            first.
        verdict: the newest health verdict; empty before the first one.
        derived: derived watches by the name of their route.
        derivable: names of the routes that may get a derived watch.
        outcomes: outcomes of commands with an id.
        claims: claims of idempotency keys.
    """

    __slots__ = (
        "claims",
        "configuration",
        "decisions",
        "derivable",
        "derived",
        "drains",
        "index",
        "outcomes",
        "purge_number",
        "purges",
        "singletons",
        "verdict",
        "version",
    )

    def __init__(self) -> None:
        """Create the state at log index 0."""
        self.index = 0
        self.version = 0
        self.configuration = Configuration()
        self.purge_number = 0
        self.purges: list[Purge] = []
        self.drains: dict[str, Drain] = {}
        self.singletons: dict[str, SingletonRole] = {}
        self.decisions: list[dict[str, object]] = []
        self.verdict: VerdictFields = {}
        self.derived: dict[str, Watch] = {}
        self.derivable: frozenset[str] = frozenset()
        self.outcomes = Outcomes()
        self.claims = Claims()

    @property
    def watches(self) -> dict[str, Watch]:
        """Derived and configured watches by name."""
        derived = {derived_name(name): watch for name, watch in sorted(self.derived.items())}
        return {**derived, **self.configuration.watches}

    def apply(self, index: int, data: bytes) -> Outcome:
        """Apply one log entry and return its outcome.

        A retry of a command with an id gets the stored outcome, marked with `again`.
        """
        self.index = index
        command = decode_command(data)
        if command is None:
            return make_outcome(CommandStatus.MALFORMED)
        kind = str(command.get(KIND_FIELD))
        handler = self.handlers().get(kind)
        if handler is None:
            return make_outcome(CommandStatus.MALFORMED)
        identity = command.get("id")
        if not isinstance(identity, str):
            return self.apply_guarded(handler, command)
        first_outcome = self.outcomes.find(kind, identity)
        if first_outcome is not None:
            return {**first_outcome, "again": True}
        outcome = self.apply_guarded(handler, command)
        if kind == CommandKind.CHANGE and outcome.get("status") == CommandStatus.ACCEPTED:
            self.outcomes.pin(kind, identity)
        self.outcomes.record(kind, identity, outcome)
        return outcome

    def handlers(self) -> dict[str, Callable[[CommandFields], Outcome]]:
        """Return the method that applies each kind of command."""
        return {
            CommandKind.CHANGE: self.apply_change,
            CommandKind.PURGE: self.apply_purge,
            CommandKind.DRAIN: self.apply_drain,
            CommandKind.ASSIGN_ROLE: self.assign_role,
            CommandKind.RECORD_VERDICT: self.record_verdict,
            CommandKind.DERIVE_WATCHES: self.replace_derived_watches,
            CommandKind.CLAIM: self.apply_claim,
            CommandKind.RELEASE: self.apply_release,
        }

    def apply_guarded(
        self, handler: Callable[[CommandFields], Outcome], command: CommandFields
    ) -> Outcome:
        """Apply a command; a malformed one leaves the state unchanged on every node."""
        try:
            return handler(command)
        except (
            LookupError,
            TypeError,
            ValueError,
            ArithmeticError,
            AttributeError,
            RecursionError,
        ):
            faults = [Fault("", "not readable").to_wire()]
            return make_outcome(CommandStatus.MALFORMED, faults=faults)

    def apply_change(self, command: CommandFields) -> Outcome:
        """Change the configuration, unless the change is based on another version of it."""
        change = command.get("change")
        base = change.get("base") if isinstance(change, dict) else None
        if isinstance(base, int) and base != self.version:
            return make_outcome(CommandStatus.CONFLICT, version=self.version)
        merged = merge_change(self.configuration, change)
        if merged.is_error():
            return invalid_outcome(merged.error.faults, version=self.version)
        version = change.get("version") if isinstance(change, dict) else None
        self.version = version if isinstance(version, int) else self.version + 1
        self.derived = retained_watches(self.derived, self.configuration, merged.ok)
        self.configuration = merged.ok
        self.derivable = derivable_routes(self.configuration, self.derived)
        return make_outcome(CommandStatus.ACCEPTED, version=self.version, index=self.index)

    def apply_purge(self, command: CommandFields) -> Outcome:
        """Number the scopes of a purge and add them to the purges that edges carry out."""
        scopes = parse_purge_scopes(command.get("scopes"))
        if scopes.is_error():
            return invalid_outcome([scopes.error])
        for scope in scopes.ok:
            self.purge_number += 1
            self.purges.append(Purge(self.purge_number, scope.kind, scope.host, scope.text))
        del self.purges[:-MAX_PURGES]
        return make_outcome(CommandStatus.ACCEPTED, purge=self.purge_number, index=self.index)

    def apply_drain(self, command: CommandFields) -> Outcome:
        """Drain an edge or a zone, or end its drain."""
        target = str(command.get("target"))
        draining = command.get("on") is True
        if draining:
            reason = str(command.get("reason", ""))
            forced = command.get("forced") is True
            self.drains[target] = Drain(index=self.index, reason=reason, forced=forced)
        elif self.drains.pop(target, None) is None:
            return invalid_outcome([Fault("target", f"{target} is not drained")])
        self.add_decision(
            {
                "kind": "drain" if draining else "recover",
                "target": target,
                "index": self.index,
                "wall": command.get("wall"),
                "reason": command.get("reason", ""),
            }
        )
        return make_outcome(CommandStatus.ACCEPTED, index=self.index)

    def assign_role(self, command: CommandFields) -> Outcome:
        """Assign a singleton role to a node, unless the fencing token is stale."""
        name, owner = str(command["name"]), str(command["holder"])
        fencing_token = command["epoch"]
        current = self.singletons.get(name)
        if not isinstance(fencing_token, int):
            return make_outcome(CommandStatus.FENCED)
        if current is not None and not current.can_become(owner, fencing_token):
            return make_outcome(CommandStatus.FENCED)
        successor = str(command["successor"])
        self.singletons[name] = SingletonRole(name, owner, fencing_token, successor)
        return make_outcome(CommandStatus.ACCEPTED, index=self.index)

    def record_verdict(self, command: CommandFields) -> Outcome:
        """Record a health verdict; one from a former owner of the aggregator role is fenced off."""
        role = self.singletons.get(AGGREGATOR)
        owner, fencing_token = command.get("holder"), command.get("epoch")
        if role is None or not isinstance(fencing_token, int):
            return make_outcome(CommandStatus.FENCED)
        if role.fences(str(owner), fencing_token):
            return make_outcome(CommandStatus.FENCED)
        verdict = command.get("verdict")
        if not isinstance(verdict, dict):
            return make_outcome(CommandStatus.MALFORMED)
        previous = self.verdict
        self.verdict = {
            **verdict,
            "index": self.index,
            "epoch": fencing_token,
            "holder": owner,
            "wall": command.get("wall"),
        }
        if verdict_differs(previous, verdict):
            self.add_decision({**self.verdict, "kind": "verdict"})
        return make_outcome(CommandStatus.ACCEPTED, index=self.index)

    def replace_derived_watches(self, command: CommandFields) -> Outcome:
        """Replace all derived watches by watches of the objects that the command names."""
        self.derived = derived_watches(self.configuration, command["places"])
        self.derivable = derivable_routes(self.configuration, self.derived)
        return make_outcome(CommandStatus.ACCEPTED, index=self.index)

    def apply_claim(self, command: CommandFields) -> Outcome:
        """Claim an idempotency key; the outcome names the request that owns the key."""
        key, request = claim_key(command["key"]), str(command["order"])
        owner = self.claims.claim(key, request)
        status = CommandStatus.CLAIMED if owner == request else CommandStatus.ALREADY_CLAIMED
        return make_outcome(status, order=owner)

    def apply_release(self, command: CommandFields) -> Outcome:
        """Release an idempotency key whose request certainly did not run."""
        self.claims.release(claim_key(command["key"]), command["order"])
        return make_outcome(CommandStatus.RELEASED)

    def add_decision(self, record: dict[str, object]) -> None:
        """Record a drain, a recovery or a verdict; the oldest records are dropped."""
        self.decisions.append(record)
        del self.decisions[:-MAX_DECISIONS]

    def snapshot(self) -> bytes:
        """Return the complete state in the form that control nodes store; see `restore`."""
        fields = {
            **self.shared_fields(),
            "decisions": self.decisions,
            "outcomes": self.outcomes.to_wire(),
            "claims": self.claims.to_wire(),
        }
        return cbor2.dumps(fields)

    def edge_snapshot(self) -> bytes:
        """Return the state for edges, without outcomes, decisions and claims; see `restore`."""
        return cbor2.dumps({**self.shared_fields(), "outcomes": [], "decisions": []})

    def shared_fields(self) -> dict[str, object]:
        """Return the fields of both control node and edge snapshots, in the stored order."""
        return {
            "index": self.index,
            "version": self.version,
            "configuration": self.configuration.to_wire(),
            "purge_number": self.purge_number,
            "purges": [purge.to_wire() for purge in self.purges],
            "drains": self.drains,
            "duties": self.singletons_to_wire(),
            "verdict": self.verdict,
            "derived": derived_targets(self.derived),
        }

    def singletons_to_wire(self) -> dict[str, object]:
        """Return the singleton roles by name in the form of snapshots and the control API."""
        return {name: role.to_wire() for name, role in self.singletons.items()}

    def restore(self, data: bytes) -> None:
        """Replace the complete state by a snapshot.

        Edge snapshots lack `claims`; those of older versions may also lack `derived`.

        Raises:
            ReplicatedStateError: the snapshot is malformed. The state may be partly replaced.
            MalformedRoleError: a singleton role is malformed. The state may be partly replaced.
        """
        fields = cbor2.loads(data)
        if not isinstance(fields, dict):
            raise MalformedSnapshotError("snapshot", "not a map")
        configuration = parse_configuration(required_field(fields, "configuration", dict))
        if configuration.is_error():
            raise configuration.error
        self.index = required_field(fields, "index", int)
        self.version = required_field(fields, "version", int)
        self.configuration = configuration.ok
        self.purge_number = required_field(fields, "purge_number", int)
        self.purges = [Purge.from_wire(item) for item in required_field(fields, "purges", list)]
        drains = required_field(fields, "drains", dict)
        self.drains = {target: drain_from_wire(item) for target, item in drains.items()}
        roles = required_field(fields, "duties", dict)
        self.singletons = {name: SingletonRole.from_wire(item) for name, item in roles.items()}
        self.decisions = required_field(fields, "decisions", list)
        self.verdict = required_field(fields, "verdict", dict)
        self.derived = derived_watches(self.configuration, fields.get("derived", {}))
        self.derivable = derivable_routes(self.configuration, self.derived)
        self.outcomes = Outcomes.from_wire(required_field(fields, "outcomes", list))
        self.claims = Claims.from_wire(fields.get("claims", ()))


def required_field(fields: dict[str, object], name: str, kind: type[FieldType]) -> FieldType:
    """Return a field of a snapshot.

    Raises:
        MalformedSnapshotError: the field is missing or of another type.
    """
    value = fields.get(name)
    if not isinstance(value, kind):
        actual = type(value).__name__
        raise MalformedSnapshotError(name, f"expected {kind.__name__}, got {actual}")
    return value


def verdict_differs(before: VerdictFields, after: VerdictFields) -> bool:
    """Return True if the health status of the network or of a zone changed."""
    return before.get("network") != after.get("network") or zone_verdicts(before) != zone_verdicts(
        after
    )


def zone_verdicts(verdict: VerdictFields) -> dict[str, object]:
    """Return the health status of each zone in a verdict."""
    zones = verdict.get("zones")
    if not isinstance(zones, dict):
        return {}
    return {
        str(zone): fields.get("verdict")
        for zone, fields in zones.items()
        if isinstance(fields, dict)
    }
