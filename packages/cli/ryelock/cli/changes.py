"""An operator's change: read from a file, given an id and a base version, and sent."""

import json
import sys
import tomllib
import uuid
from http import HTTPStatus
from pathlib import Path

from ryelock.control_client import ExitCode, JsonObject, call_control_api, exit_code_of
from ryelock.runtime.reactor import Reactor


class ChangeError(Exception):
    """Base of the errors of a change's file; the text is for the operator."""


class UnreadableChangeError(ChangeError):
    """The file cannot be read, or is neither JSON nor TOML."""

    def __init__(self, file: str, reason: object) -> None:
        """Create the error of a file's path."""
        super().__init__(f"{file}: {reason}")


class NotAChangeError(ChangeError):
    """The file holds something else than a change."""

    def __init__(self, file: str) -> None:
        """Create the error of a file's path."""
        super().__init__(f"{file}: neither an object nor a JSON Patch")


class MissingBaseError(ChangeError):
    """A JSON Patch came without the version that it was planned on."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("a patch needs --base, the version it was planned on")


def show(value: object) -> None:
    """Print a value as JSON."""
    sys.stdout.write(json.dumps(value, indent=2, ensure_ascii=False) + "\n")


def read_change(file: str) -> JsonObject:
    """Return the change in a JSON or TOML file; a list is taken for a JSON Patch (RFC 6902).

    Raises:
        UnreadableChangeError: the file cannot be read or parsed.
        NotAChangeError: it holds neither an object nor a list.
    """
    try:
        text = Path(file).read_text()
        given = tomllib.loads(text) if file.endswith(".toml") else json.loads(text)
    except (OSError, ValueError) as error:
        raise UnreadableChangeError(file, error) from error
    if isinstance(given, list):
        return {"patch": given}
    if not isinstance(given, dict):
        raise NotAChangeError(file)
    return given


def change_of(given: JsonObject, identity: str, base: int | None, whole: bool) -> JsonObject:
    """Return the change to send: with an id, and with the base where it is known.

    Args:
        given: the content of the operator's file.
        identity: the change's id; empty for the file's, or a new one where that has none.
        base: the version it was made against; None for the file's, or the present one.
        whole: whether the file is a complete configuration.

    Raises:
        MissingBaseError: a patch without a base.
    """
    if "patch" in given and base is None and "base" not in given:
        raise MissingBaseError
    change: JsonObject = {"put": given, "whole": True} if whole else dict(given)
    if identity or "id" not in change:
        change["id"] = identity or uuid.uuid4().hex
    if base is not None:
        change["base"] = base
    return change


async def send_change(reactor: Reactor, address: str, change: JsonObject) -> int:
    """Send a change and print the response.

    A change without a base is made against the present version, which is read first.

    Args:
        reactor: opens the connections.
        address: control address of any control node or edge.
        change: the change, with its id.

    Returns:
        The exit code.
    """
    if "base" not in change:
        present = await call_control_api(
            reactor.scheduler, reactor, address, "GET", "/configuration"
        )
        if present.is_error():
            sys.stderr.write(f"ryelock: {present.error}\n")
            return ExitCode.UNREACHED
        if present.ok.status != HTTPStatus.OK:
            show(present.ok.body)
            return exit_code_of(present.ok.status)
        change["base"] = present.ok.body["version"]
    found = await call_control_api(reactor.scheduler, reactor, address, "POST", "/changes", change)
    if found.is_error():
        sys.stderr.write(f"ryelock: {found.error} (id {change['id']})\n")
        return found.error.exit_code
    show(found.ok.body)
    return exit_code_of(found.ok.status)
