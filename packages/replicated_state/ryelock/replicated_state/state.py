"""The machine behind the consensus group's words, and the replica of it on every edge.

Words are changes, purges, drains, duties, decisions and made-up watches. Applying a word gives
its outcome; the outcome of an id is remembered, so that the same change sent again gets its
first answer.
Everything must come to the same on every node: no clock, no chance, no order of a set.
"""

from collections import OrderedDict
from collections.abc import Callable

import cbor2

from ryelock.replicated_state.configuration import (
    Configuration,
    Watch,
    merge_change,
    parse_configuration,
)
from ryelock.replicated_state.derived import (
    derivable_routes,
    derived_name,
    derived_targets,
    derived_watches,
    still_standing,
)
from ryelock.replicated_state.outcomes import Outcomes, outcomes_of
from ryelock.singleton import SingletonRole

PURGES_KEPT = 2000
DECISIONS_KEPT = 500
PURGE_KINDS = ("route", "prefix", "path", "label")
CLAIMS_KEPT = 50_000
CHANGE = "change"
Plain = dict[str, object]


def encode_command(kind: str, **fields: object) -> bytes:
    return cbor2.dumps({"word": kind, **fields})


class Purge:
    """Copies that may not be served any more: a route, a prefix, one path or a label."""

    __slots__ = ("host", "kind", "number", "text")

    def __init__(self, number: int, kind: str, host: str, text: str) -> None:
        self.number = number
        self.kind = kind
        self.host = host
        self.text = text

    def to_wire(self) -> list[object]:
        return [self.number, self.kind, self.host, self.text]


def purge_fault(scopes: object) -> str:
    """What is wrong with the scopes of a purge; empty when nothing is."""
    if not isinstance(scopes, list) or not 0 < len(scopes) <= 1000:
        return "not a list of 1 to 1000 scopes"
    for scope in scopes:
        if not isinstance(scope, dict) or set(scope) - {*PURGE_KINDS, "host"}:
            return "a scope has a route, a prefix, a path or a label, and perhaps a host"
        kinds = [kind for kind in PURGE_KINDS if kind in scope]
        if len(kinds) != 1 or not all(isinstance(value, str) for value in scope.values()):
            return "a scope has exactly one of route, prefix, path and label"
        if kinds[0] not in ("route", "label") and not scope[kinds[0]].startswith("/"):
            return "a path starts with '/'"
    return ""


class ReplicatedState:
    """Configuration versions, purges, drains, duties and decisions.

    `derived` has a made-up watch by the name of its route, `derivable` the routes that may get one.
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
        self.clear()

    def clear(self) -> None:
        self.index = 0
        self.version = 0
        self.configuration = Configuration()
        self.purge_number = 0
        self.purges: list[Purge] = []
        self.drains: dict[str, Plain] = {}
        self.singletons: dict[str, SingletonRole] = {}
        self.decisions: list[Plain] = []
        self.verdict: Plain = {}
        self.derived: dict[str, Watch] = {}
        self.derivable: frozenset[str] = frozenset()
        self.outcomes = Outcomes()
        self.claims: OrderedDict[bytes, str] = OrderedDict()

    def apply(self, index: int, data: bytes) -> Plain:
        """Apply one log entry; the outcome tells whether it was accepted, and why not."""
        self.index = index
        word = cbor2.loads(data)
        if not isinstance(word, dict):
            return {"status": "malformed"}
        handlers = {
            "change": self.change,
            "purge": self.purge,
            "drain": self.drain,
            "duty": self.duty,
            "decision": self.decision,
            "derived": self.derive,
            "claim": self.claim,
            "release": self.release,
        }
        handler = handlers.get(str(word.get("word")))
        if handler is None:
            return {"status": "malformed"}
        kind, identity = str(word["word"]), word.get("id")
        if not isinstance(identity, str):
            return self.guarded(handler, word)
        known = self.outcomes.find(kind, identity)
        if known is not None:
            return {**known, "again": True}
        outcome = self.guarded(handler, word)
        if kind == CHANGE and outcome.get("status") == "accepted":
            self.outcomes.stand(kind, identity)
        self.outcomes.remember(kind, identity, outcome)
        return outcome

    def guarded(self, handler: Callable[[Plain], Plain], word: Plain) -> Plain:
        """A word that no node can read moves no state on any."""
        try:
            return handler(word)
        except (KeyError, TypeError, ValueError, AttributeError, RecursionError):
            return {"status": "malformed", "faults": [{"path": "", "fault": "not readable"}]}

    def change(self, word: Plain) -> Plain:
        change = word.get("change")
        base = change.get("base") if isinstance(change, dict) else None
        if isinstance(base, int) and base != self.version:
            return {"status": "conflict", "version": self.version}
        found = merge_change(self.configuration, change)
        if found.is_error():
            return {"status": "invalid", "faults": found.error, "version": self.version}
        named = change.get("version") if isinstance(change, dict) else None
        self.version = named if isinstance(named, int) else self.version + 1
        self.derived = still_standing(self.derived, self.configuration, found.ok)
        self.configuration = found.ok
        self.derivable = derivable_routes(self.configuration, self.derived)
        return {"status": "accepted", "version": self.version, "index": self.index}

    def purge(self, word: Plain) -> Plain:
        scopes = word.get("scopes")
        reason = purge_fault(scopes)
        if reason or not isinstance(scopes, list):
            return {"status": "invalid", "faults": [{"path": "scopes", "fault": reason}]}
        for scope in scopes:
            kind = next(kind for kind in PURGE_KINDS if kind in scope)
            self.purge_number += 1
            self.purges.append(Purge(self.purge_number, kind, scope.get("host", ""), scope[kind]))
        del self.purges[:-PURGES_KEPT]
        return {"status": "accepted", "purge": self.purge_number, "index": self.index}

    def drain(self, word: Plain) -> Plain:
        target = str(word.get("target"))
        if word.get("on") is True:
            self.drains[target] = {
                "index": self.index,
                "reason": str(word.get("reason", "")),
                "forced": word.get("forced") is True,
            }
        elif self.drains.pop(target, None) is None:
            return {
                "status": "invalid",
                "faults": [{"path": "target", "fault": f"{target} is not drained"}],
            }
        record: Plain = {
            "kind": "drain" if word.get("on") is True else "recover",
            "target": target,
            "index": self.index,
            "wall": word.get("wall"),
            "reason": word.get("reason", ""),
        }
        self.keep_decision(record)
        return {"status": "accepted", "index": self.index}

    def duty(self, word: Plain) -> Plain:
        name, holder = str(word["name"]), str(word["holder"])
        epoch, before = word["epoch"], self.singletons.get(name)
        if not isinstance(epoch, int) or (before is not None and epoch < before.fencing_token):
            return {"status": "fenced"}
        if before is not None and epoch == before.fencing_token and holder != before.owner:
            return {"status": "fenced"}
        self.singletons[name] = SingletonRole(name, holder, epoch, str(word["successor"]))
        return {"status": "accepted", "index": self.index}

    def decision(self, word: Plain) -> Plain:
        """A verdict, taken only from the present holder of the aggregator's duty."""
        duty = self.singletons.get("aggregator")
        epoch = word.get("epoch")
        if (
            duty is None
            or not isinstance(epoch, int)
            or duty.fences(str(word.get("holder")), epoch)
        ):
            return {"status": "fenced"}
        verdict = word.get("verdict")
        if not isinstance(verdict, dict):
            return {"status": "malformed"}
        before = self.verdict
        self.verdict = {
            **verdict,
            "index": self.index,
            "epoch": epoch,
            "holder": word.get("holder"),
            "wall": word.get("wall"),
        }
        if before.get("network") != verdict.get("network") or zone_words(before) != zone_words(
            verdict
        ):
            self.keep_decision({**self.verdict, "kind": "verdict"})
        return {"status": "accepted", "index": self.index}

    def derive(self, word: Plain) -> Plain:
        """All watches that are made up of objects that were served, in place of those before."""
        self.derived = derived_watches(self.configuration, word["places"])
        self.derivable = derivable_routes(self.configuration, self.derived)
        return {"status": "accepted", "index": self.index}

    @property
    def watches(self) -> dict[str, Watch]:
        """The operators' watches and those that were made up, by name."""
        made = {derived_name(name): watch for name, watch in sorted(self.derived.items())}
        return {**made, **self.configuration.watches}

    def claim(self, word: Plain) -> Plain:
        """One order claims a key: whoever asks with another order later is told so."""
        key, request = bytes_of(word["key"]), str(word["order"])
        holder = self.claims.setdefault(key, request)
        while len(self.claims) > CLAIMS_KEPT:
            self.claims.popitem(last=False)
        return {"status": "claimed" if holder == request else "known", "order": holder}

    def release(self, word: Plain) -> Plain:
        """The order that claimed a key certainly did not run."""
        key = bytes_of(word["key"])
        if self.claims.get(key) == word["order"]:
            del self.claims[key]
        return {"status": "released"}

    def keep_decision(self, record: Plain) -> None:
        self.decisions.append(record)
        del self.decisions[:-DECISIONS_KEPT]

    def snapshot(self) -> bytes:
        """All of it, as the consensus group's disks keep it."""
        whole = {
            **self.shared(),
            "decisions": self.decisions,
            "outcomes": self.outcomes.to_wire(),
            "claims": list(self.claims.items()),
        }
        return cbor2.dumps(whole)

    def edge_snapshot(self) -> bytes:
        """What edges need of it: no outcomes of old words and no past decisions."""
        return cbor2.dumps({**self.shared(), "outcomes": [], "decisions": []})

    def shared(self) -> Plain:
        return {
            "index": self.index,
            "version": self.version,
            "configuration": self.configuration.to_wire(),
            "purge_number": self.purge_number,
            "purges": [purge.to_wire() for purge in self.purges],
            "drains": self.drains,
            "duties": {name: duty.to_wire() for name, duty in self.singletons.items()},
            "verdict": self.verdict,
            "derived": derived_targets(self.derived),
        }

    def restore(self, data: bytes) -> None:
        found = cbor2.loads(data)
        if not isinstance(found, dict):
            raise ValueError("not an image of the register")
        configuration = parse_configuration(found["configuration"])
        if configuration.is_error():
            raise ValueError("the image's configuration is not valid")
        self.clear()
        self.index = found["index"]
        self.version = found["version"]
        self.configuration = configuration.ok
        self.purge_number = found["purge_number"]
        self.purges = [Purge(*purge) for purge in found["purges"]]
        self.drains = found["drains"]
        self.singletons = {
            name: SingletonRole(plain["name"], plain["holder"], plain["epoch"], plain["successor"])
            for name, plain in found["duties"].items()
        }
        self.decisions = found["decisions"]
        self.verdict = found["verdict"]
        self.derived = derived_watches(self.configuration, found.get("derived", {}))
        self.derivable = derivable_routes(self.configuration, self.derived)
        self.outcomes = outcomes_of(found["outcomes"])
        self.claims = OrderedDict((key, value) for key, value in found.get("claims", ()))


def bytes_of(value: object) -> bytes:
    if not isinstance(value, bytes) or not 0 < len(value) <= 64:
        raise ValueError("not a key")
    return value


def zone_words(verdict: Plain) -> dict[str, object]:
    zones = verdict.get("zones")
    if not isinstance(zones, dict):
        return {}
    return {
        str(zone): found.get("verdict") for zone, found in zones.items() if isinstance(found, dict)
    }
