"""Questions of other processes: what a process answers to given frames, to the byte.

The questions stand here as the wire has them and know nothing of the product's names. The
answers are compared with golden files.
"""

import json
import struct
from collections.abc import Callable

import cbor2
from golden import DATA, GoldenTest
from observed import GREETING, frame
from simulated_client import Client, Message, fill_disk, leads, logged, new_world, start

STORED = DATA / "stored" / "snapshot"
CORE = "10.1.0.1"
STANDALONE: Message = {"seeds": "10.1.0.1:1", "beat_seconds": 0.1}
WIRE = f"{CORE}:1"
CONFIGURATION: Message = {
    "services": {
        "pages": {"rate": 100},
        "desks": {"rate": 1},
        "free": {"rate": 1, "limited": False},
    },
    "routes": {
        "covers": {"path": "/covers", "service": "pages", "cached": True},
        "orders": {"path": "/orders", "service": "desks", "once": True},
    },
    "watches": {"covers": {"route": "covers", "object": "/covers/1"}},
}


def session(name: str, role: str, number: int, **more: object) -> Message:
    return {
        "name": name,
        "role": role,
        "zone": "north",
        "machine": f"m-{name}",
        "wire": f"10.2.0.{number}:1",
        "control": f"10.2.0.{number}:2",
        "order": f"10.2.0.{number}:3" if role == "edge" else "",
        "incarnation": f"{number:012x}",
        "disk": "",
        "mark": "",
        "probes": False,
        "ready": True,
        "served": 7,
        "applied": 0,
        **more,
    }


def renewal(who: Message, sequence: int, replicated_state: int, **more: object) -> Message:
    return {
        "kind": "renew",
        "hold": 0.05,
        "session": who,
        "sequence": sequence,
        "vector": {"register": replicated_state},
        "demand": {"pages": 3.5},
        "holding": {"pages": 0.0, "desks": 0.0},
        "wanted": {"desks": 1},
        "failed": [],
        "objects": [],
        **more,
    }


def operator(what: str, given: object = None, **more: object) -> Message:
    message: Message = {"kind": "operator", "what": what, "query": {}, **more}
    return message if given is None else {**message, "given": given}


ROW: list[object] = [
    *("prober0", "m-prober0", 1, "north", "edge0", "covers", False, 1_800_000_000.5, 0.25),
    *(True, True, False, 12.5, 3.25, "status 500", "mark"),
]
PLACES = {"whole": True, "put": CONFIGURATION}
EDGE, SECOND, PROBER = (
    session("edge0", "edge", 1),
    session("edge1", "edge", 2, zone="south", mark="abcd"),
    session("prober0", "prober", 3, probes=True),
)
KEY = bytes(range(16))
LEADER_QUESTIONS: list[tuple[str, Message]] = [
    ("who", {"kind": "council.who"}),
    ("operator reads an empty configuration", operator("read")),
    ("operator changes", operator("change", {"id": "c1", "base": 0, **PLACES})),
    ("operator changes again", operator("change", {"id": "c1", "base": 0, **PLACES})),
    ("operator changes on an old base", operator("change", {"id": "c2", "base": 0, **PLACES})),
    ("operator changes with faults", operator("change", {"id": "c3", "base": 1, "put": {"x": 1}})),
    ("operator changes without an id", operator("change", {"base": 1})),
    ("operator changes without a change", operator("change")),
    (
        "operator plans",
        operator("plan", {"put": {"routes": {"n": {"path": "/n", "service": "pages"}}}}),
    ),
    ("operator plans a patch", operator("plan", [{"op": "remove", "path": "/watches/covers"}])),
    ("operator plans on an old base", operator("plan", {"base": 0})),
    ("operator purges", operator("purge", {"id": "p1", "scopes": [{"path": "/covers/1"}]})),
    ("operator purges without scopes", operator("purge", {"id": "p2"})),
    ("operator drains an unknown edge", operator("drain", {"id": "d1", "target": "edge9"})),
    ("edge renews at first", renewal(EDGE, 1, 0)),
    ("edge renews with an older sequence", renewal(EDGE, 1, 2)),
    ("edge renews again", renewal(EDGE, 2, 2)),
    (
        "other edge renews",
        renewal(SECOND, 1, 0, failed=[KEY], objects=[["covers", "", "/covers/1"]]),
    ),
    ("edge renews with news", renewal(EDGE, 3, 4, objects=[["covers", "", "/covers/1"]])),
    ("prober renews", renewal(PROBER, 1, 2)),
    ("edge renews without a session", {"kind": "renew"}),
    ("edge renews with a faulty session", renewal({**EDGE, "role": "king"}, 4, 2)),
    ("edge renews with faulty callers", renewal(EDGE, 4, 2, failed=[b"short"])),
    ("edge renews with faulty amounts", renewal(EDGE, 4, 2, demand={"pages": -1})),
    ("edge renews with faulty objects", renewal(EDGE, 4, 2, objects=[[1]])),
    ("operator drains", operator("drain", {"id": "d2", "target": "edge1", "force": True})),
    ("operator drains what is needed", operator("drain", {"id": "d3", "target": "zone:north"})),
    ("operator drains without a target", operator("drain", {"id": "d4"})),
    ("operator recovers", operator("recover", {"id": "d5", "target": "edge1", "reason": "done"})),
    ("operator recovers what is not drained", operator("recover", {"id": "d6", "target": "edge1"})),
    ("operator reads", operator("read")),
    ("operator reads through another", operator("read", through=True)),
    ("operator asks for members", operator("members")),
    ("operator asks for what is not known", operator("dance")),
    ("claim", {"kind": "claim", "key": KEY, "order": "edge0-a-1"}),
    ("claim again", {"kind": "claim", "key": KEY, "order": "edge0-a-1"}),
    ("claim by another", {"kind": "claim", "key": KEY, "order": "edge1-b-1"}),
    ("claim without a key", {"kind": "claim", "order": "edge1-b-1"}),
    ("claim with a faulty key", {"kind": "claim", "key": b"", "order": "edge1-b-1"}),
    ("release by another", {"kind": "release", "key": KEY, "order": "edge1-b-1"}),
    ("release", {"kind": "release", "key": KEY, "order": "edge0-a-1"}),
    ("rows of another term", {"kind": "rows", "epoch": 9, "holder": "core0", "rows": [ROW]}),
    ("rows", {"kind": "rows", "epoch": 1, "holder": "core0", "rows": [ROW]}),
    ("faulty rows", {"kind": "rows", "epoch": 1, "holder": "core0", "rows": [ROW[:-1]]}),
    (
        "decision",
        {
            "kind": "decision",
            "holder": "core0",
            "epoch": 1,
            "clock": [],
            "verdict": {"network": "healthy", "zones": {"north": {"verdict": "healthy"}}},
        },
    ),
    ("decision of another", {"kind": "decision", "holder": "core0", "epoch": 4, "verdict": {}}),
    ("decision that is late", {"kind": "decision", "holder": "core1", "epoch": 1, "verdict": {}}),
    ("decision without a verdict", {"kind": "decision", "holder": "core0", "epoch": 1}),
    ("operator asks for verdicts", operator("verdicts")),
    ("join", {"kind": "council.join", "disk": "d9", "address": "10.2.0.9:1"}),
    ("leave of a spare", {"kind": "council.leave", "disk": "d9"}),
    (
        "vote for another disk",
        {
            "kind": "council.vote",
            "epoch": 9,
            "trial": True,
            "to": "d8",
            "disk": "d9",
            "last_epoch": 9,
            "last_index": 99,
            "handed": False,
        },
    ),
    ("beat for another disk", {"kind": "council.beat", "epoch": 9, "to": "d8", "disk": "d9"}),
    ("image for another disk", {"kind": "council.image", "epoch": 9, "to": "d8", "disk": "d9"}),
    ("promise while it leads", {"kind": "council.promise", "seconds": 1.0, "vector": {}}),
    ("takeover of another term", {"kind": "council.takeover", "epoch": 9}),
    ("malformed vote", {"kind": "council.vote"}),
    ("malformed beat", {"kind": "council.beat", "epoch": "one"}),
    ("malformed image", {"kind": "council.image", "epoch": True}),
    ("malformed join", {"kind": "council.join"}),
    ("malformed takeover", {"kind": "council.takeover"}),
    ("goodbye of an unknown run", {"kind": "leave", "name": "edge0", "incarnation": "x"}),
    ("goodbye", {"kind": "leave", "name": "edge0", "incarnation": EDGE["incarnation"]}),
    ("unknown kind", {"kind": "dance"}),
    ("no kind", {}),
]
"""Asked one after another of a control node that leads alone."""


def leader_answers() -> Message:
    """Ask a control node that leads alone."""
    world = new_world(21)
    node = start(world, "core0", "core", CORE, STANDALONE)
    assert world.run_until(lambda: leads(node), 10)
    world.run(2.0)
    client = Client(world)
    return {name: client.ask(WIRE, question) for name, question in LEADER_QUESTIONS}


def malformed_answers() -> Message:
    """Send what is no frame of this protocol; connections are closed."""
    world = new_world(22)
    node = start(world, "core0", "core", CORE, STANDALONE)
    world.run(1.0)
    client = Client(world)
    pieces = {
        "no greeting": frame({"kind": "council.who", "ask": 1}),
        "another protocol": frame({"protocol": "other", "version": 1}),
        "another version": frame({"protocol": "ryelock", "version": 2}),
        "not CBOR": GREETING + b"\0\0\0\1\xff",
        "not a map": GREETING + b"\0\0\0\1\x01",
        "too long": GREETING + b"\xff\xff\xff\xff",
        "a question without a number": GREETING + frame({"kind": "council.who"}),
    }
    found: Message = {name: client.send_raw(WIRE, data) for name, data in pieces.items()}
    return {**found, "events": logged(node)}


DISK = json.loads((STORED / "identity").read_text())["disk"]
LED = {"to": DISK, "disk": "d3", "address": "10.1.0.3:1", "epoch": 5}
SAID: Message = {
    "source": "core2/00",
    "version": 3,
    "sessions": [session("edge0", "edge", 1)],
    "gone": [],
    "left": [],
    "listing": None,
    "clock": 12.5,
}
VOTERS = {"d3": "10.1.0.3:1", DISK: WIRE, "d5": "10.1.0.5:1"}
VOTE = {"kind": "council.vote", "to": DISK, "disk": "d5", "trial": False, "handed": False}


def heartbeat(
    previous: int, term: int, entries: list[object], commit: int, **more: object
) -> Message:
    return {
        "kind": "council.beat",
        **LED,
        "previous": previous,
        "previous_epoch": term,
        "entries": entries,
        "commit": commit,
        "said": SAID,
        **more,
    }


def piece(index: int, size: int, offset: int, data: bytes) -> Message:
    return {"kind": "council.image", **LED, "piece": [index, 5, VOTERS, 40, size, offset, data]}


def stored_state() -> bytes:
    """Return the state in the golden snapshot, as a leader sends it: the file's first record."""
    snapshot = next(STORED.glob("image-*")).read_bytes()
    (size,) = struct.unpack(">I", snapshot[10:14])
    state = cbor2.loads(snapshot[14 : 14 + size])[3]
    assert isinstance(state, bytes)
    return state


def follower_questions() -> list[tuple[str, Message | float]]:
    state = stored_state()
    half = len(state) // 2
    last = 46
    return [
        ("who", {"kind": "council.who"}),
        ("renewal where no leader is known", renewal(EDGE, 1, 0)),
        ("operator where no leader is known", operator("read")),
        ("operator through where no leader is known", operator("read", through=True)),
        ("claim where no leader is known", {"kind": "claim", "key": KEY, "order": "a"}),
        ("leave where no leader is known", {"kind": "council.leave", "disk": "d1"}),
        ("decision where no leader is known", {"kind": "decision", "holder": "core0"}),
        ("beat while a promise stands", heartbeat(last, 4, [], 30)),
        ("pause", 2.0),
        ("beat of an older term", heartbeat(last, 4, [], 0, epoch=1)),
        ("beat far ahead", heartbeat(99, 5, [], 0)),
        ("beat on another term", heartbeat(30, 2, [], 0)),
        ("beat before the snapshot", heartbeat(3, 2, [], 0)),
        ("beat", heartbeat(last, 4, [], 30)),
        (
            "beat with entries",
            heartbeat(
                last, 4, [[47, 5, "nothing", b""], [48, 5, "voters", cbor2.dumps(VOTERS)]], 48
            ),
        ),
        ("beat with faulty entries", heartbeat(48, 5, [[49, 5, "nothing"]], 48)),
        ("beat with an entry of another term", heartbeat(48, 5, [[49, 5, "note", b"\xa0"]], 48)),
        ("beat that cuts the tail", heartbeat(48, 5, [[49, 6, "word", b"\xa0"]], 48, epoch=6)),
        ("renewal where the leader does not answer", renewal(EDGE, 1, 0)),
        ("image that is old", {**piece(40, 10, 0, b"12345"), "epoch": 6}),
        ("image out of bounds", {**piece(60, 10, 8, b"12345"), "epoch": 6}),
        ("first half of an image", {**piece(60, len(state), 0, state[:half]), "epoch": 6}),
        ("the same half again", {**piece(60, len(state), 0, state[:half]), "epoch": 6}),
        ("second half of an image", {**piece(60, len(state), half, state[half:]), "epoch": 6}),
        ("who has followed", {"kind": "council.who"}),
        ("vote while a leader is heard", {**VOTE, "epoch": 7, "last_epoch": 6, "last_index": 60}),
        ("pause", 0.75),
        ("trial vote", {**VOTE, "epoch": 7, "last_epoch": 6, "last_index": 60, "trial": True}),
        ("vote for a shorter log", {**VOTE, "epoch": 7, "last_epoch": 4, "last_index": 60}),
        ("vote", {**VOTE, "epoch": 7, "last_epoch": 6, "last_index": 60}),
        (
            "second vote in a term",
            {**VOTE, "epoch": 7, "last_epoch": 6, "last_index": 60, "disk": "d3"},
        ),
        ("handed vote", {**VOTE, "epoch": 8, "last_epoch": 6, "last_index": 60, "handed": True}),
        ("takeover", {"kind": "council.takeover", "epoch": 8}),
        ("pause", 4.0),
        ("promise", {"kind": "council.promise", "seconds": 1.0, "vector": {}}),
        ("promise that is too long", {"kind": "council.promise", "seconds": 9.0, "vector": {}}),
        ("vote after a promise", {**VOTE, "epoch": 99, "last_epoch": 98, "last_index": 999}),
        ("beat after a promise", heartbeat(60, 5, [], 60, epoch=99)),
        ("image after a promise", {**piece(70, 3, 0, b"1"), "epoch": 99}),
    ]


def follower_answers() -> Message:
    """Ask a control node that restarted on stored data and that is led by hand."""
    world = new_world(23)
    files = {file.name: file.read_bytes() for file in STORED.iterdir()}
    seeds: Message = {"seeds": f"{WIRE},10.1.0.3:1,10.1.0.5:1"}
    node = start(world, "core0", "core", CORE, seeds, files)
    client = Client(world)
    found: Message = {}
    for name, question in follower_questions():
        if isinstance(question, float):
            world.run(question)
        else:
            found[name] = client.ask(WIRE, question)
    world.run(2.0)
    found["beat of a new leader"] = client.ask(WIRE, heartbeat(60, 5, [], 60, epoch=99))
    fill_disk(node)
    entries: list[object] = [[61, 99, "nothing", b""]]
    found["beat on a full disk"] = client.ask(WIRE, heartbeat(60, 5, entries, 60, epoch=99))
    return found


def other_answers() -> Message:
    """Ask the roles that answer next to nothing."""
    found: Message = {}
    for number, role in enumerate(("desk", "edge", "prober")):
        world = new_world(24)
        host = f"10.3.0.{number}"
        start(world, f"{role}0", role, host, {"seeds": "10.1.0.1:1"})
        client = Client(world)
        for kind in ("council.who", "dance"):
            found[f"{role}: {kind}"] = client.ask(f"{host}:1", {"kind": kind})
    return found


RECORDERS: dict[str, Callable[[], object]] = {
    "wire-leader.json": leader_answers,
    "wire-malformed.json": malformed_answers,
    "wire-follower.json": follower_answers,
    "wire-others.json": other_answers,
}


class QuestionTests(GoldenTest):
    def test_a_leader_answers_as_ever(self) -> None:
        self.assert_golden("wire-leader.json", leader_answers())

    def test_malformed_frames_end_a_connection_as_ever(self) -> None:
        self.assert_golden("wire-malformed.json", malformed_answers())

    def test_a_follower_answers_as_ever(self) -> None:
        self.assert_golden("wire-follower.json", follower_answers())

    def test_other_roles_answer_as_ever(self) -> None:
        self.assert_golden("wire-others.json", other_answers())
