"""Frames between processes: the bytes and the fields of each kind of message stay as they are."""

import re
from collections import defaultdict
from collections.abc import Callable
from functools import cache
from pathlib import Path

import simulated_runs
from golden import GoldenTest
from observed import frame, frames_in, message_in, observed

import ryelock.rpc as wire

# What this file knows of the product's names: a rename inside changes this section only.

HELLO = wire.HANDSHAKE
PACKAGES = Path(__file__).parent.parent.parent / "packages"
NOT_ON_THE_WIRE = ("replicated_state", "journal", "cache", "testing")


def encoded(message: dict[str, object]) -> bytes:
    """Return a message as the product's frame."""
    return wire.encode_frame(message)


def kinds_in_code() -> set[str]:
    """Return the kinds of messages that the packages' source names."""
    found: set[str] = set()
    for path in PACKAGES.glob("*/ryelock/*/*.py"):
        if path.parent.name in NOT_ON_THE_WIRE:
            continue
        text = path.read_text()
        found |= set(re.findall(r'"(council\.\w+)"', text))
        found |= set(re.findall(r'"kind": "([\w.]+)"', text))
        found |= set(re.findall(r'kind == "([\w.]+)"', text))
        for names in re.findall(r"kind in \(([^)]*)\)", text):
            found |= set(re.findall(r'"([\w.]+)"', names))
        found |= set(re.findall(r'^\w+_REQUEST = "([\w.]+)"', text, re.MULTILINE))
    return found - {"purge", "drain", "recover"}


# The outside: forms of frames, which must never change.

BYTES_LEAST, BYTES_SHOWN = 60, 1500
MAPS = {
    *("voters", "vector", "demand", "holding", "wanted", "shares", "grants", "zones", "members"),
    *("services", "routes", "watches", "limits", "drains", "duties", "derived", "gone", "split"),
    *("days", "put", "verdicts", "query"),
}
"""Fields whose value is a map from names to values, not one with fields of its own."""


TYPES: dict[type, str] = {
    bool: "bool",
    int: "int",
    float: "float",
    str: "text",
    bytes: "bytes",
    list: "list",
    dict: "map",
    type(None): "null",
}


class Fields:
    """The fields of all messages of one kind: which there are, of which types, always or not."""

    def __init__(self) -> None:
        self.types: dict[str, set[str]] = defaultdict(set)
        self.counts: dict[str, int] = defaultdict(int)
        self.maps: dict[str, int] = defaultdict(int)

    def add(self, path: str, value: object) -> None:
        """Add a value that stands at a path."""
        self.counts[path] += 1
        self.types[path].add(type_of(value))
        if isinstance(value, dict):
            self.maps[path] += 1
            named = path.rpartition(".")[2] not in MAPS or "source" in value
            for key, item in value.items():
                self.add(f"{path}.{key}" if named else f"{path}.*", item)
        elif isinstance(value, list):
            for item in value:
                self.add(f"{path}[]", item)

    def plain(self) -> dict[str, str]:
        """Return types by path; "?" behind a path that some messages lack."""
        found: dict[str, str] = {}
        for path in sorted(self.types):
            parent = path.rpartition(".")[0]
            always = path.endswith(("*", "[]")) or self.counts[path] >= self.maps[parent]
            found[path if always else f"{path}?"] = "|".join(sorted(self.types[path]))
        return found


def type_of(value: object) -> str:
    """Return the name of a type of CBOR."""
    return TYPES[type(value)]


class Frames:
    """Sorts the frames of a run by kind; what is no frame is passed over."""

    def __init__(self) -> None:
        self.buffers: dict[tuple[int, bool], bytes] = {}
        self.greeted: set[tuple[int, bool]] = set()
        self.asked: dict[tuple[int, object], str] = {}
        self.fields: dict[str, Fields] = defaultdict(Fields)
        self.samples: dict[str, bytes] = {}

    def sent(self, _time: float, connection: int, _at: str, answers: bool, data: bytes) -> None:
        key = (connection, answers)
        if key not in self.buffers and data[: len(HELLO)] != HELLO:
            self.buffers[key] = b""
            return
        if key in self.buffers and key not in self.greeted:
            return
        found, self.buffers[key] = frames_in(self.buffers.get(key, b"") + data)
        if key not in self.greeted:
            self.greeted.add(key)
            found.pop(0)
        for piece in found:
            self.take(connection, piece)

    def take(self, connection: int, piece: bytes) -> None:
        """Add one frame to what is known of its kind."""
        message = message_in(piece)
        if "ask" in message:
            name = question_name(message)
            self.asked[connection, message["ask"]] = name
        else:
            name = f"{self.asked[connection, message['answer']]} answer"
            if message.get("status") is not None:
                name += f" {message['status']}"
        self.fields[name].add("", message)
        if name not in self.samples or (
            self.is_poor(self.samples[name]) and not self.is_poor(piece)
        ):
            self.samples[name] = piece

    def is_poor(self, piece: bytes) -> bool:
        """Whether a frame is too short or too long to be the sample of its kind."""
        return not BYTES_LEAST < len(piece) < BYTES_SHOWN

    def stored(self, *_: object) -> None:
        """Disks are not looked at."""

    def logged(self, *_: object) -> None:
        """Nor are logs."""

    def plain(self) -> dict[str, object]:
        return {
            name: {
                "fields": self.fields[name].plain(),
                "frame": self.samples[name],
            }
            for name in sorted(self.fields)
        }


def question_name(message: dict[str, object]) -> str:
    """Return the kind of a question; an operator's with what is asked."""
    kind = str(message["kind"])
    return f"{kind} {message['what']}" if kind == "operator" else kind


@cache
def frames_of_runs() -> Frames:
    """Record the frames of all runs."""
    frames = Frames()
    with observed(frames):
        simulated_runs.every_message()
    other = Frames()
    with observed(other):
        simulated_runs.desk()
    for name in other.fields:
        if name not in frames.fields:
            frames.fields[name], frames.samples[name] = other.fields[name], other.samples[name]
    return frames


RECORDERS: dict[str, Callable[[], object]] = {
    "wire-frames.json": lambda: frames_of_runs().plain(),
}


class WireTests(GoldenTest):
    def test_frames_of_runs_are_as_ever(self) -> None:
        """Fields and types of every message, and one sample of each kind to the byte."""
        self.assert_golden("wire-frames.json", frames_of_runs().plain())

    def test_every_kind_in_the_code_was_seen(self) -> None:
        seen = {name.partition(" ")[0] for name in frames_of_runs().fields}
        self.assertEqual(kinds_in_code(), seen)

    def test_samples_decode_and_encode_to_themselves(self) -> None:
        for name, sample in frames_of_runs().samples.items():
            self.assertEqual(sample, encoded(message_in(sample)), name)

    def test_the_greeting_is_as_ever(self) -> None:
        self.assertEqual(frame({"protocol": "ryelock", "version": 1}), HELLO)
        self.assertEqual(
            "0000001ba26870726f746f636f6c677279656c6f636b6776657273696f6e01", HELLO.hex()
        )
