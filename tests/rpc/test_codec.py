"""Typed messages: wire names, checks without conversion, errors that name the field."""

from dataclasses import dataclass
from typing import Annotated

import pytest

from ryelock.rpc import MalformedMessageError
from ryelock.rpc.codec import AsIs, Natural, OmitDefault, WireName, decode, encode


@dataclass(frozen=True, slots=True)
class Inner:
    """A part of a message."""

    index: Natural
    data: bytes


@dataclass(frozen=True, slots=True)
class Sample:
    """A message with each kind of field."""

    term: Annotated[Natural, WireName("epoch")]
    name: str
    seconds: float
    entries: list[Inner]
    flag: Annotated[bool, OmitDefault()] = False
    payload: Annotated[dict[str, object] | None, WireName("said"), OmitDefault()] = None


GOOD: dict[str, object] = {
    "epoch": 3,
    "name": "n1",
    "seconds": 2,
    "entries": [{"index": 0, "data": b"x"}],
    "newer": "passed over",
}


def test_a_message_has_its_names_on_the_wire() -> None:
    message = decode(Sample, GOOD)
    assert message == Sample(Natural(3), "n1", 2.0, [Inner(Natural(0), b"x")])
    assert encode(message) == {
        "epoch": 3,
        "name": "n1",
        "seconds": 2.0,
        "entries": [{"index": 0, "data": b"x"}],
    }
    assert decode(Sample, {**GOOD, "said": {"a": [1]}}).payload == {"a": [1]}


ATTRIBUTES = {"epoch": "term", "said": "payload", "items": "entries"}
"""The attributes of fields that have another name on the wire; errors name these."""


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("epoch", "3"),
        ("epoch", -1),
        ("epoch", True),
        ("epoch", 3.0),
        ("name", 5),
        ("name", None),
        ("seconds", "2"),
        ("seconds", True),
        ("entries", [{"index": 0}]),
        ("entries", [{"index": 0, "data": "x"}]),
        ("entries", 7),
        ("flag", 1),
        ("said", "x"),
    ],
)
def test_a_value_of_another_type_is_rejected_by_the_name_of_its_field(
    field: str, value: object
) -> None:
    with pytest.raises(MalformedMessageError, match=ATTRIBUTES.get(field, field)):
        decode(Sample, {**GOOD, field: value})


@pytest.mark.parametrize("field", ["epoch", "name", "seconds", "entries"])
def test_a_missing_field_is_named(field: str) -> None:
    with pytest.raises(MalformedMessageError, match=ATTRIBUTES.get(field, field)):
        decode(Sample, {key: value for key, value in GOOD.items() if key != field})


@pytest.mark.parametrize("data", [None, 5, [], "text"])
def test_what_is_no_map_is_malformed(data: object) -> None:
    with pytest.raises(MalformedMessageError):
        decode(Sample, data)


@dataclass(frozen=True, slots=True)
class Carrier:
    """A message with parts that are carried untouched."""

    entries: Annotated[list[object], WireName("items"), AsIs(list)]
    payload: Annotated[dict[str, object] | None, AsIs(dict), OmitDefault()] = None


def test_what_is_carried_as_it_is_is_not_copied() -> None:
    entries: list[object] = [[1, "a", b"x"], {"any": None}]
    payload: dict[str, object] = {"nested": [1, {"a": 2.5}]}
    message = decode(Carrier, {"items": entries, "payload": payload})
    assert message.entries is entries
    assert message.payload is payload
    data = encode(message)
    assert list(data) == ["items", "payload"]
    assert data["items"] is entries
    assert data["payload"] is payload
    assert encode(Carrier(entries)) == {"items": entries}


@pytest.mark.parametrize(
    ("field", "value"),
    [("items", {}), ("items", None), ("items", "ab"), ("payload", []), ("payload", None)],
)
def test_what_is_carried_as_it_is_has_its_type(field: str, value: object) -> None:
    with pytest.raises(MalformedMessageError, match=ATTRIBUTES.get(field, field)):
        decode(Carrier, {"items": [], field: value})
