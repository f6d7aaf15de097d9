"""The operator commands: each sends a request to a node and prints the response as JSON.

defopt derives options and help from each function's signature and docstring, so the docstrings of
the commands are the help texts that operators read.
"""

import sys
import uuid

from ryelock.cli.changes import ChangeError, prepare_change, print_json, read_change, send_change
from ryelock.cli.command import run_command
from ryelock.control_client import ExitCode, call_control_api, exit_code_of
from ryelock.explain import explain_request, explain_url, format_explanation
from ryelock.runtime.reactor import Reactor


def run_request(address: str, method: str, target: str, json_body: object = None) -> int:
    """Send one request to a control address, print the response and return the exit code."""

    async def command(reactor: Reactor) -> int:
        result = await call_control_api(
            reactor.scheduler, reactor, address, method, target, json_body
        )
        if result.is_error():
            sys.stderr.write(f"ryelock: {result.error}\n")
            return result.error.exit_code
        print_json(result.ok.body)
        return exit_code_of(result.ok.status)

    return run_command(command)


def apply(
    file: str,
    *,
    at: str,
    id: str = "",
    base: int | None = None,
    whole: bool = False,
    plan: bool = False,
) -> int:
    """Set routes, watches and services by one change, taken whole or not at all.

    :param file: the change, JSON or TOML: put and remove, a configuration with --whole, or a
        JSON Patch, which needs the --base it was planned on
    :param at: control address of any core or edge
    :param id: id of the change; the same id again gives the first outcome
    :param base: version the change was made against; left out: the present one
    :param whole: the file is a whole configuration that replaces the present one
    :param plan: only show what the change would do, and to which version
    """
    try:
        content = read_change(file)
        if plan:
            if base is not None:
                content["base"] = base
            return run_request(
                at, "POST", "/plans", {"put": content, "whole": True} if whole else content
            )
        change = prepare_change(content, id, base, whole)
    except ChangeError as error:
        sys.stderr.write(f"ryelock apply: {error}\n")
        return ExitCode.BAD_INPUT
    return run_command(lambda reactor: send_change(reactor, at, change))


def read(*, at: str) -> int:
    """Read the whole configuration and its version, confirmed by a majority.

    :param at: control address of any core or edge
    """
    return run_request(at, "GET", "/configuration")


def purge(
    *, at: str, route: str = "", prefix: str = "", path: str = "", host: str = "", id: str = ""
) -> int:
    """Make copies of a route, a prefix or one path unfit to be served.

    :param at: control address of any core or edge
    :param route: name of a route
    :param prefix: every target that starts so
    :param path: this one path, whatever its query
    :param host: only under this host
    :param id: id of the purge
    """
    scope = {
        key: value
        for key, value in (("route", route), ("prefix", prefix), ("path", path), ("host", host))
        if value
    }
    return run_request(at, "POST", "/purges", {"id": id or uuid.uuid4().hex, "scopes": [scope]})


def drain(target: str, *, at: str, force: bool = False, reason: str = "", id: str = "") -> int:
    """Empty an edge or a zone; rejected where the network needs it.

    :param target: an edge's name, or zone:NAME
    :param at: control address of any core or edge
    :param force: drain it whatever the verdicts say
    :param reason: kept in the record
    :param id: id of the order
    """
    return request_service_change(at, "/drains", id, target, force, reason)


def recover(target: str, *, at: str, force: bool = False, reason: str = "", id: str = "") -> int:
    """Take a drained edge or zone back into service.

    :param target: an edge's name, or zone:NAME
    :param at: control address of any core or edge
    :param force: recover it whatever the verdicts say
    :param reason: kept in the record
    :param id: id of the order
    """
    return request_service_change(at, "/recoveries", id, target, force, reason)


def request_service_change(
    address: str, path: str, request_id: str, target: str, force: bool, reason: str
) -> int:
    """Send a request to drain or recover an edge or zone; return the exit code."""
    request = {"target": target, "force": force, "reason": reason}
    return run_request(address, "POST", path, {"id": request_id or uuid.uuid4().hex, **request})


def verdicts(*, at: str) -> int:
    """Read the record of decisions: verdicts, evidence, drains, duties, members.

    :param at: control address of any core or edge
    """
    return run_request(at, "GET", "/verdicts")


def explain(what: str, url: str = "", *, at: str, plain: bool = False) -> int:
    """Tell why an order went where it went, or where one would go.

    :param what: an order's id from X-Ryelock-Order, or a method
    :param url: with a method: the URL
    :param at: control address: for an id any core or edge, for a URL the edge to ask
    :param plain: print JSON instead of words
    """

    async def command(reactor: Reactor) -> int:
        if url:
            result = await explain_url(reactor.scheduler, reactor, at, what, url)
        else:
            result = await explain_request(reactor.scheduler, reactor, at, what)
        if result.is_error():
            sys.stderr.write(f"ryelock explain: {result.error}\n")
            return ExitCode.UNREACHED
        if plain:
            print_json(result.ok)
        else:
            sys.stdout.write("\n".join(format_explanation(result.ok)) + "\n")
        return ExitCode.DONE

    return run_command(command)
