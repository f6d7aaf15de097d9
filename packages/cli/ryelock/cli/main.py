"""Command line of `ryelock`, by defopt: three daemons and the operator's tools."""

import json
import sys
import tomllib
import uuid
import warnings
from http import HTTPStatus
from pathlib import Path

import defopt

warnings.filterwarnings("ignore", message="pkg_resources is deprecated")

from ryelock.cli.running import run_daemon, run_once  # noqa: E402
from ryelock.control_client import UNREACHED, Plain, call_control_api, code_of  # noqa: E402
from ryelock.explain import explain_request, explain_url, format_explanation  # noqa: E402
from ryelock.runtime.reactor import Reactor  # noqa: E402
from ryelock.settings import SettingsError, read_settings  # noqa: E402

BAD_SETTINGS = 2


def daemon(role: str, settings: str, flags: dict[str, object], sets: list[str]) -> int:
    """Run a daemon by its settings file, flags and KEY=VALUE pairs; return its exit code."""
    for pair in sets:
        key, _, value = pair.partition("=")
        flags[key] = value
    try:
        env = read_settings(role, settings, flags)
    except SettingsError as error:
        for fault in error.faults:
            sys.stderr.write(f"ryelock {role}: {fault}\n")
        return BAD_SETTINGS
    return run_daemon(role, env)


def core(
    *,
    settings: str = "",
    name: str | None = None,
    zone: str | None = None,
    machine: str | None = None,
    seeds: str | None = None,
    wire_address: str | None = None,
    control_address: str | None = None,
    data_folder: str | None = None,
    platform_address: str | None = None,
    sets: list[str] | None = None,
) -> int:
    """Run a control node: it keeps the operator's word on its disk and agrees on it.

    :param settings: settings file, TOML or JSON
    :param name: name of this process
    :param zone: zone of this machine
    :param machine: machine this process runs on
    :param seeds: wire addresses of the three seeds, divided by commas
    :param wire_address: where other processes reach this one
    :param control_address: where operators and the platform reach this one
    :param data_folder: the one folder this process writes to
    :param platform_address: where the platform lists servers
    :param sets: any other setting, as KEY=VALUE
    """
    return daemon(
        "core",
        settings,
        {
            "name": name,
            "zone": zone,
            "machine": machine,
            "seeds": seeds,
            "wire_address": wire_address,
            "control_address": control_address,
            "data_folder": data_folder,
            "platform_address": platform_address,
        },
        sets or [],
    )


def edge(
    *,
    settings: str = "",
    name: str | None = None,
    zone: str | None = None,
    machine: str | None = None,
    seeds: str | None = None,
    wire_address: str | None = None,
    control_address: str | None = None,
    order_address: str | None = None,
    probe: bool | None = None,
    sets: list[str] | None = None,
) -> int:
    """Run a node that carries traffic, and probes its zone where it is told to.

    :param settings: settings file, TOML or JSON
    :param name: name of this process
    :param zone: zone of this machine
    :param machine: machine this process runs on
    :param seeds: wire addresses of the three seeds, divided by commas
    :param wire_address: where other processes reach this one
    :param control_address: where operators and the platform reach this one
    :param order_address: where callers reach this one
    :param probe: also probe the other edges of the zone
    :param sets: any other setting, as KEY=VALUE
    """
    return daemon(
        "edge",
        settings,
        {
            "name": name,
            "zone": zone,
            "machine": machine,
            "seeds": seeds,
            "wire_address": wire_address,
            "control_address": control_address,
            "order_address": order_address,
            "probe": probe,
        },
        sets or [],
    )


def prober(
    *,
    settings: str = "",
    name: str | None = None,
    zone: str | None = None,
    machine: str | None = None,
    seeds: str | None = None,
    wire_address: str | None = None,
    control_address: str | None = None,
    sets: list[str] | None = None,
) -> int:
    """Run a prober: it fetches real objects through the edges of its zone.

    :param settings: settings file, TOML or JSON
    :param name: name of this process
    :param zone: zone of this machine
    :param machine: machine this process runs on
    :param seeds: wire addresses of the three seeds, divided by commas
    :param wire_address: where other processes reach this one
    :param control_address: where operators and the platform reach this one
    :param sets: any other setting, as KEY=VALUE
    """
    return daemon(
        "prober",
        settings,
        {
            "name": name,
            "zone": zone,
            "machine": machine,
            "seeds": seeds,
            "wire_address": wire_address,
            "control_address": control_address,
        },
        sets or [],
    )


def show(plain: object) -> None:
    """Print plain data as JSON."""
    sys.stdout.write(json.dumps(plain, indent=2, ensure_ascii=False) + "\n")


def order(at: str, method: str, target: str, given: object = None) -> int:
    """One operator's order; prints the JSON answered."""

    async def work(reactor: Reactor) -> int:
        found = await call_control_api(reactor.scheduler, reactor, at, method, target, given)
        if found.is_error():
            sys.stderr.write(f"ryelock: {found.error}\n")
            return found.error.code
        status, plain = found.ok
        show(plain)
        return code_of(status)

    return run_once(work)


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
        given = read_change(file)
        if plan:
            if base is not None:
                given["base"] = base
            return order(at, "POST", "/plans", {"put": given, "whole": True} if whole else given)
        change = change_of(given, id, base, whole)
    except ChangeError as error:
        sys.stderr.write(f"ryelock apply: {error}\n")
        return BAD_SETTINGS
    return run_once(lambda reactor: send_change(reactor, at, change))


class ChangeError(Exception):
    """The file of a change cannot be read, or is no change; the text is for the operator."""


def read_change(file: str) -> Plain:
    """Return the change in a JSON or TOML file; a list is taken for a JSON Patch."""
    try:
        text = Path(file).read_text()
        given = tomllib.loads(text) if file.endswith(".toml") else json.loads(text)
    except (OSError, ValueError) as error:
        raise ChangeError(f"{file}: {error}") from error
    if isinstance(given, list):
        return {"patch": given}
    if not isinstance(given, dict):
        raise ChangeError(f"{file}: neither an object nor a JSON Patch")
    return given


def change_of(given: Plain, identity: str, base: int | None, whole: bool) -> Plain:
    """Return the change to send: with an id, and with the base where it is known."""
    if "patch" in given and base is None and "base" not in given:
        raise ChangeError("a patch needs --base, the version it was planned on")
    change: Plain = {"put": given, "whole": True} if whole else dict(given)
    if identity or "id" not in change:
        change["id"] = identity or uuid.uuid4().hex
    if base is not None:
        change["base"] = base
    return change


async def send_change(reactor: Reactor, at: str, change: Plain) -> int:
    """Send a change, on top of the present version where it names none; return the exit code."""
    if "base" not in change:
        present = await call_control_api(reactor.scheduler, reactor, at, "GET", "/configuration")
        if present.is_error():
            sys.stderr.write(f"ryelock: {present.error}\n")
            return UNREACHED
        status, configuration = present.ok
        if status != HTTPStatus.OK:
            show(configuration)
            return code_of(status)
        change["base"] = configuration["version"]
    found = await call_control_api(reactor.scheduler, reactor, at, "POST", "/changes", change)
    if found.is_error():
        sys.stderr.write(f"ryelock: {found.error} (id {change['id']})\n")
        return found.error.code
    status, answer = found.ok
    show(answer)
    return code_of(status)


def read(*, at: str) -> int:
    """Read the whole configuration and its version, confirmed by a majority.

    :param at: control address of any core or edge
    """
    return order(at, "GET", "/configuration")


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
    return order(at, "POST", "/purges", {"id": id or uuid.uuid4().hex, "scopes": [scope]})


def planned(at: str, path: str, identity: str, target: str, force: bool, reason: str) -> int:
    """Send a drain or a recovery of an edge or zone; return the exit code."""
    given = {"target": target, "force": force, "reason": reason}
    return order(at, "POST", path, {"id": identity or uuid.uuid4().hex, **given})


def drain(target: str, *, at: str, force: bool = False, reason: str = "", id: str = "") -> int:
    """Empty an edge or a zone; declined where the network needs it.

    :param target: an edge's name, or zone:NAME
    :param at: control address of any core or edge
    :param force: drain it whatever the verdicts say
    :param reason: kept in the record
    :param id: id of the order
    """
    return planned(at, "/drains", id, target, force, reason)


def recover(target: str, *, at: str, force: bool = False, reason: str = "", id: str = "") -> int:
    """Take a drained edge or zone back into service.

    :param target: an edge's name, or zone:NAME
    :param at: control address of any core or edge
    :param force: recover it whatever the verdicts say
    :param reason: kept in the record
    :param id: id of the order
    """
    return planned(at, "/recoveries", id, target, force, reason)


def verdicts(*, at: str) -> int:
    """Read the record of decisions: verdicts, evidence, drains, duties, members.

    :param at: control address of any core or edge
    """
    return order(at, "GET", "/verdicts")


def explain(what: str, url: str = "", *, at: str, plain: bool = False) -> int:
    """Tell why an order went where it went, or where one would go.

    :param what: an order's id from X-Ryelock-Order, or a method
    :param url: with a method: the URL
    :param at: control address: for an id any core or edge, for a URL the edge to ask
    :param plain: print JSON instead of words
    """

    async def work(reactor: Reactor) -> int:
        if url:
            found = await explain_url(reactor.scheduler, reactor, at, what, url)
        else:
            found = await explain_request(reactor.scheduler, reactor, at, what)
        if found.is_error():
            sys.stderr.write(f"ryelock explain: {found.error}\n")
            return UNREACHED
        if plain:
            show(found.ok)
        else:
            sys.stdout.write("\n".join(format_explanation(found.ok)) + "\n")
        return 0

    return run_once(work)


def main() -> None:
    """Run the subcommand that the command line names."""
    code = defopt.run(
        [core, edge, prober, apply, read, purge, drain, recover, verdicts, explain], short={}
    )
    sys.exit(code)
