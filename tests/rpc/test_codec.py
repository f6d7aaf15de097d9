"""The codec of typed messages: wire names, strict type checks, errors that name the field."""

from dataclasses import dataclass
from typing import Annotated

import pytest

from ryelock.rpc import MalformedMessageError
from ryelock.rpc.codec import AsIs, Natural, OmitDefault, WireName, decode, encode


@dataclass(frozen=True, slots=True)
class Inner:
    """A nested message."""

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


VALID: dict[str, object] = {
    "epoch": 3,
    "name": "n1",
    "seconds": 2,
    "entries": [{"index": 0, "data": b"x"}],
    "newer": "ignored",
}


def test_a_message_has_its_names_on_the_wire() -> None:
    message = decode(Sample, VALID)
    assert message == Sample(Natural(3), "n1", 2.0, [Inner(Natural(0), b"x")])
    assert encode(message) == {
        "epoch": 3,
        "name": "n1",
        "seconds": 2.0,
        "entries": [{"index": 0, "data": b"x"}],
    }
    assert decode(Sample, {**VALID, "said": {"a": [1]}}).payload == {"a": [1]}


ATTRIBUTES = {"epoch": "term", "said": "payload", "items": "entries"}
"""Attributes by wire name where they differ; errors name the attribute."""


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
def test_the_error_names_the_field_with_a_value_of_another_type(field: str, value: object) -> None:
    with pytest.raises(MalformedMessageError, match=ATTRIBUTES.get(field, field)):
        decode(Sample, {**VALID, field: value})


@pytest.mark.parametrize("field", ["epoch", "name", "seconds", "entries"])
def test_a_missing_field_is_named(field: str) -> None:
    with pytest.raises(MalformedMessageError, match=ATTRIBUTES.get(field, field)):
        decode(Sample, {key: value for key, value in VALID.items() if key != field})


@pytest.mark.parametrize("data", [None, 5, [], "text"])
def test_data_other_than_a_map_is_rejected(data: object) -> None:
    with pytest.raises(MalformedMessageError):
        decode(Sample, data)


@dataclass(frozen=True, slots=True)
class PassThrough:
    """A message with fields that are passed through."""

    entries: Annotated[list[object], WireName("items"), AsIs(list)]
    payload: Annotated[dict[str, object] | None, AsIs(dict), OmitDefault()] = None


def test_a_passed_through_value_is_not_copied() -> None:
    entries: list[object] = [[1, "a", b"x"], {"any": None}]
    payload: dict[str, object] = {"nested": [1, {"a": 2.5}]}
    message = decode(PassThrough, {"items": entries, "payload": payload})
    assert message.entries is entries
    assert message.payload is payload
    data = encode(message)
    assert list(data) == ["items", "payload"]
    assert data["items"] is entries
    assert data["payload"] is payload
    assert encode(PassThrough(entries)) == {"items": entries}


@pytest.mark.parametrize(
    ("field", "value"),
    [("items", {}), ("items", None), ("items", "ab"), ("payload", []), ("payload", None)],
)
def test_a_passed_through_value_is_checked_for_its_type(field: str, value: object) -> None:
    with pytest.raises(MalformedMessageError, match=ATTRIBUTES.get(field, field)):
        decode(PassThrough, {"items": [], field: value})
