"""Configuration changes of operators: reading from a file, completing and sending."""

import json
import sys
import tomllib
import uuid
from http import HTTPStatus
from pathlib import Path

from ryelock.control_client import ExitCode, JsonObject, call_control_api, exit_code_of
from ryelock.runtime.reactor import Reactor


class ChangeError(Exception):
    """Base of the errors in a change file; the message is shown to the operator."""


class UnreadableChangeError(ChangeError):
    """The file cannot be read, or is neither JSON nor TOML."""

    def __init__(self, file: str, reason: object) -> None:
        """Create the error of a file's path."""
        super().__init__(f"{file}: {reason}")


class NotAChangeError(ChangeError):
    """The content of the file is not a change."""

    def __init__(self, file: str) -> None:
        """Create the error of a file's path."""
        super().__init__(f"{file}: neither an object nor a JSON Patch")


class MissingBaseError(ChangeError):
    """A JSON Patch was given without its base version."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("a patch needs --base, the version it was planned on")


def print_json(value: object) -> None:
    """Print a value as JSON."""
    sys.stdout.write(json.dumps(value, indent=2, ensure_ascii=False) + "\n")


def read_change(file: str) -> JsonObject:
    """Return the change in a JSON or TOML file; a list is read as a JSON Patch (RFC 6902).

    Raises:
        UnreadableChangeError: the file cannot be read or parsed.
        NotAChangeError: the content is neither an object nor a list.
    """
    try:
        text = Path(file).read_text()
        content = tomllib.loads(text) if file.endswith(".toml") else json.loads(text)
    except (OSError, ValueError) as error:
        raise UnreadableChangeError(file, error) from error
    if isinstance(content, list):
        return {"patch": content}
    if not isinstance(content, dict):
        raise NotAChangeError(file)
    return content


def prepare_change(
    content: JsonObject, change_id: str, base: int | None, whole: bool
) -> JsonObject:
    """Return the change to send: the content of a file with an id and, if known, a base version.

    Args:
        content: content of the operator's file.
        change_id: id of the change; if empty, that in the file or else a new one.
        base: version that the change was made against; if None, that in the file, if any.
        whole: True if the file is a complete configuration.

    Raises:
        MissingBaseError: the change is a JSON Patch without a base version.
    """
    if "patch" in content and base is None and "base" not in content:
        raise MissingBaseError
    change: JsonObject = {"put": content, "whole": True} if whole else dict(content)
    if change_id or "id" not in change:
        change["id"] = change_id or uuid.uuid4().hex
    if base is not None:
        change["base"] = base
    return change


async def send_change(reactor: Reactor, address: str, change: JsonObject) -> int:
    """Send a change and print the response.

    If the change has no base version, the current version is read first and used.

    Args:
        reactor: opens the connections.
        address: control address of any control node or edge.
        change: the change, including its id.

    Returns:
        The exit code.
    """
    if "base" not in change:
        current = await call_control_api(
            reactor.scheduler, reactor, address, "GET", "/configuration"
        )
        if current.is_error():
            sys.stderr.write(f"ryelock: {current.error}\n")
            return ExitCode.UNREACHED
        if current.ok.status != HTTPStatus.OK:
            print_json(current.ok.body)
            return exit_code_of(current.ok.status)
        change["base"] = current.ok.body["version"]
    result = await call_control_api(reactor.scheduler, reactor, address, "POST", "/changes", change)
    if result.is_error():
        sys.stderr.write(f"ryelock: {result.error} (id {change['id']})\n")
        return result.error.exit_code
    print_json(result.ok.body)
    return exit_code_of(result.ok.status)
