"""The state machine behind the log of the consensus group, and its replica on every edge.

Applying a command gives its outcome; the outcome of a command with an id is remembered, so that the
same command sent again gets its first outcome. Applying has to be deterministic on every node: no
clock, no randomness, no order of a set.
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
"""Purges that are kept; an edge that missed older ones drops its whole cache."""
MAX_DECISIONS = 500
"""Past drains and verdicts that are kept for the record."""
AGGREGATOR = "aggregator"
"""The singleton role whose owner records verdicts."""
VerdictFields = dict[str, object]
"""A verdict of the network as the aggregator proposed it; see ryelock.health."""
Shape = TypeVar("Shape")


class ReplicatedState:
    """Configuration, purges, drains, singleton roles and decisions, all at one log index.

    Attributes:
        index: log index up to which commands are applied.
        version: version of the configuration.
        configuration: what operators set.
        purge_number: number of the newest purge.
        purges: the newest purges, oldest first.
        drains: drained edges by name and zones by `zone:NAME`.
        singletons: singleton roles by name.
        decisions: past drains and verdicts as the control API shows them, oldest first.
        verdict: the newest verdict; empty where there was none.
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
        """Create the state before the first command."""
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
        """The derived watches and those of operators, by name."""
        derived = {derived_name(name): watch for name, watch in sorted(self.derived.items())}
        return {**derived, **self.configuration.watches}

    def apply(self, index: int, data: bytes) -> Outcome:
        """Apply one log entry; the outcome tells whether it was accepted, and why not."""
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
        known = self.outcomes.find(kind, identity)
        if known is not None:
            return {**known, "again": True}
        outcome = self.apply_guarded(handler, command)
        if kind == CommandKind.CHANGE and outcome.get("status") == CommandStatus.ACCEPTED:
            self.outcomes.pin(kind, identity)
        self.outcomes.remember(kind, identity, outcome)
        return outcome

    def handlers(self) -> dict[str, Callable[[CommandFields], Outcome]]:
        """Return what applies each kind of command."""
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
        """Apply a command; one that no node can read changes the state of none."""
        try:
            return handler(command)
        except (KeyError, TypeError, ValueError, AttributeError, RecursionError):
            faults = [Fault("", "not readable").to_wire()]
            return make_outcome(CommandStatus.MALFORMED, faults=faults)

    def apply_change(self, command: CommandFields) -> Outcome:
        """Change the configuration, where the change was made against the present version."""
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
        """Number the scopes of a purge and keep them for the edges."""
        scopes = parse_purge_scopes(command.get("scopes"))
        if scopes.is_error():
            return invalid_outcome([scopes.error])
        for scope in scopes.ok:
            self.purge_number += 1
            self.purges.append(Purge(self.purge_number, scope.kind, scope.host, scope.text))
        del self.purges[:-MAX_PURGES]
        return make_outcome(CommandStatus.ACCEPTED, purge=self.purge_number, index=self.index)

    def apply_drain(self, command: CommandFields) -> Outcome:
        """Drain an edge or a zone, or recover it."""
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
        """Give a singleton role to a node, unless its fencing token is older than the present."""
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
        """Record a verdict, taken only from the present owner of the aggregator's role."""
        role = self.singletons.get(AGGREGATOR)
        owner, fencing_token = command.get("holder"), command.get("epoch")
        if role is None or not isinstance(fencing_token, int):
            return make_outcome(CommandStatus.FENCED)
        if role.fences(str(owner), fencing_token):
            return make_outcome(CommandStatus.FENCED)
        verdict = command.get("verdict")
        if not isinstance(verdict, dict):
            return make_outcome(CommandStatus.MALFORMED)
        before = self.verdict
        self.verdict = {
            **verdict,
            "index": self.index,
            "epoch": fencing_token,
            "holder": owner,
            "wall": command.get("wall"),
        }
        if is_other_verdict(before, verdict):
            self.add_decision({**self.verdict, "kind": "verdict"})
        return make_outcome(CommandStatus.ACCEPTED, index=self.index)

    def replace_derived_watches(self, command: CommandFields) -> Outcome:
        """Replace all derived watches by those of the objects that the command names."""
        self.derived = derived_watches(self.configuration, command["places"])
        self.derivable = derivable_routes(self.configuration, self.derived)
        return make_outcome(CommandStatus.ACCEPTED, index=self.index)

    def apply_claim(self, command: CommandFields) -> Outcome:
        """Claim a key for a request; the outcome names the request that owns the key."""
        key, request = claim_key(command["key"]), str(command["order"])
        owner = self.claims.claim(key, request)
        status = CommandStatus.CLAIMED if owner == request else CommandStatus.KNOWN
        return make_outcome(status, order=owner)

    def apply_release(self, command: CommandFields) -> Outcome:
        """Give a key back; the request that claimed it certainly did not run."""
        self.claims.release(claim_key(command["key"]), command["order"])
        return make_outcome(CommandStatus.RELEASED)

    def add_decision(self, record: dict[str, object]) -> None:
        """Add a drain or verdict to the record."""
        self.decisions.append(record)
        del self.decisions[:-MAX_DECISIONS]

    def snapshot(self) -> bytes:
        """Return all of it, as the consensus group's disks keep it; see `restore`."""
        fields = {
            **self.shared_fields(),
            "decisions": self.decisions,
            "outcomes": self.outcomes.to_wire(),
            "claims": self.claims.to_wire(),
        }
        return cbor2.dumps(fields)

    def edge_snapshot(self) -> bytes:
        """Return what edges need of it: no outcomes, past decisions or claims; see `restore`."""
        return cbor2.dumps({**self.shared_fields(), "outcomes": [], "decisions": []})

    def shared_fields(self) -> dict[str, object]:
        """Return the fields that snapshots of control nodes and of edges have, in their order."""
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
        """Return the singleton roles by name, as snapshots and the control API have them."""
        return {name: role.to_wire() for name, role in self.singletons.items()}

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot's; fields that came later may be missing.

        Raises:
            ReplicatedStateError: it is no snapshot; the state may be incomplete then.
            MalformedRoleError: a singleton role has another form; so it may be then.
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


def required_field(fields: dict[str, object], name: str, kind: type[Shape]) -> Shape:
    """Return a field of a snapshot.

    Raises:
        MalformedSnapshotError: it is missing or of another type.
    """
    value = fields.get(name)
    if not isinstance(value, kind):
        raise MalformedSnapshotError(name, f"not of type {kind.__name__}")
    return value


def is_other_verdict(before: VerdictFields, after: VerdictFields) -> bool:
    """Tell whether a verdict finds the network or a zone otherwise than the one before."""
    return before.get("network") != after.get("network") or zone_verdicts(before) != zone_verdicts(
        after
    )


def zone_verdicts(verdict: VerdictFields) -> dict[str, object]:
    """Return what each zone is found to be."""
    zones = verdict.get("zones")
    if not isinstance(zones, dict):
        return {}
    return {
        str(zone): found.get("verdict") for zone, found in zones.items() if isinstance(found, dict)
    }
