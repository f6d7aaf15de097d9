"""The command line: options of each subcommand, what operators' commands send, exit codes.

The commands run in this process against a listener on the loopback that notes each request and
answers as it is told to. The listener's port is picked by the kernel.
"""

import contextlib
import inspect
import io
import json
import socket
import sys
import tempfile
import threading
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from types import ModuleType
from unittest import mock

from golden import GoldenTest

from ryelock import control_client as operator_side
from ryelock.cli import main as program

# What this file knows of the product's names: a rename inside changes this section only.

SUBCOMMANDS = ("core", "edge", "prober", "apply", "read", "purge", "drain", "recover", "verdicts")
PROGRAM: ModuleType = program


def run_program() -> None:
    """Run the command line of `sys.argv`; raises SystemExit."""
    program.main()


def subcommands_in_code() -> set[str]:
    """Return the subcommands that the program offers."""
    source = inspect.getsource(program.main)
    names = source.partition("[")[2].partition("]")[0]
    return {name.strip() for name in names.split(",")}


def exit_codes() -> dict[str, int]:
    """Return the exit codes by what they say."""
    return {
        "done": operator_side.ExitCode.DONE,
        "declined": operator_side.ExitCode.REJECTED,
        "bad settings": operator_side.ExitCode.BAD_INPUT,
        "not taken": operator_side.ExitCode.NOT_TAKEN,
        "unknown": operator_side.ExitCode.UNKNOWN,
        "unreached": operator_side.ExitCode.UNREACHED,
    }


# The outside, which must never change.

ALL = (*SUBCOMMANDS, "explain")
STATUSES = (200, 400, 404, 409, 412, 422, 503, 504)
CHANGE = {"put": {"routes": {"x": {"path": "/x", "service": "pages"}}}}
PATCH = [{"op": "remove", "path": "/routes/x"}]
FILES = {
    "change.json": json.dumps(CHANGE),
    "based.json": json.dumps({"id": "mine", "base": 3, **CHANGE}),
    "patch.json": json.dumps(PATCH),
    "change.toml": '[put.routes.x]\npath = "/x"\nservice = "pages"\n',
    "text.json": '"text"',
    "faulty.json": "{",
}
CONFIGURATION = (200, {"version": 7, "index": 9, "configuration": {}})
ACCEPTED = (200, {"status": "accepted", "version": 8, "index": 10, "id": "c"})
MEMBERS = (200, {"members": {"edge0": {"control": "ADDRESS"}, "edge-1": {"control": "ADDRESS"}}})
ACCOUNT = (
    200,
    {
        "method": "GET",
        "target": "/x",
        "host": "h",
        "route": "r",
        "version": 1,
        "service": "s",
        "class": "once",
        "status": 200,
        "outcome": "answered",
        "seconds": 0.1,
    },
)
Answer = tuple[int, object]
RUNS: dict[str, tuple[list[str], list[Answer]]] = {
    "apply": (["apply", "change.json", "--id", "c1"], [CONFIGURATION, ACCEPTED]),
    "apply with a base": (["apply", "change.json", "--id", "c1", "--base", "4"], [ACCEPTED]),
    "apply without an id": (["apply", "change.json", "--base", "4"], [ACCEPTED]),
    "apply a file with id and base": (["apply", "based.json"], [ACCEPTED]),
    "apply with another id": (["apply", "based.json", "--id", "c2"], [ACCEPTED]),
    "apply TOML": (["apply", "change.toml", "--id", "c1", "--base", "0"], [ACCEPTED]),
    "apply a whole": (["apply", "change.json", "--whole", "--id", "c1", "--base", "0"], [ACCEPTED]),
    "apply a patch": (["apply", "patch.json", "--id", "c1", "--base", "5"], [ACCEPTED]),
    "apply a patch without a base": (["apply", "patch.json", "--id", "c1"], []),
    "apply text": (["apply", "text.json"], []),
    "apply what is no JSON": (["apply", "faulty.json"], []),
    "apply no file": (["apply", "none.json"], []),
    "plan": (["apply", "change.json", "--plan"], [(200, {"base": 7, "plan": {}})]),
    "plan with a base": (["apply", "change.json", "--plan", "--base", "6"], [(409, {})]),
    "plan a whole": (["apply", "change.json", "--plan", "--whole"], [(200, {})]),
    "plan a patch": (["apply", "patch.json", "--plan"], [(200, {})]),
    "apply where no version is told": (["apply", "change.json", "--id", "c1"], [(503, {"a": 1})]),
    "read": (["read"], [CONFIGURATION]),
    "purge a route": (["purge", "--route", "r", "--id", "p"], [ACCEPTED]),
    "purge a prefix": (["purge", "--prefix", "/x", "--host", "h", "--id", "p"], [ACCEPTED]),
    "purge a path": (["purge", "--path", "/x/1"], [ACCEPTED]),
    "drain": (["drain", "edge0", "--id", "d", "--reason", "why"], [ACCEPTED]),
    "drain by force": (["drain", "zone:north", "--force"], [ACCEPTED]),
    "recover": (["recover", "edge0", "--id", "r"], [ACCEPTED]),
    "recover by force": (["recover", "edge0", "--force", "--reason", "why"], [ACCEPTED]),
    "verdicts": (["verdicts"], [(200, {"verdict": {}, "text": "grün"})]),
    "explain an order": (["explain", "edge0-aa-1"], [MEMBERS, ACCOUNT]),
    "explain an order of an edge with a dash": (
        ["explain", "edge-1-aa-1", "--plain"],
        [MEMBERS, ACCOUNT],
    ),
    "explain an order of nobody": (["explain", "edge9-aa-1"], [MEMBERS]),
    "explain an order that is forgotten": (
        ["explain", "edge0-aa-1"],
        [MEMBERS, (404, {"fault": "gone"})],
    ),
    "explain a URL": (["explain", "GET", "http://shop.example/x?a=b"], [ACCOUNT]),
    "not JSON": (["read"], [(200, b"text")]),
    "no object": (["read"], [(200, [1])]),
    **{
        f"status {status}": (["drain", "edge0", "--id", "d"], [(status, {"s": status})])
        for status in STATUSES
    },
    "no answer to a post": (["drain", "edge0", "--id", "d"], [(0, b"")]),
    "no answer to a get": (["read"], [(0, b"")]),
    "no answer to a change": (["apply", "based.json"], [(0, b"")]),
    "nobody there": (["read"], []),
    "nobody there for a change": (["apply", "based.json"], []),
    "an unknown subcommand": (["dance"], []),
    "an argument that is missing": (["drain"], []),
}
NOBODY = ("nobody there", "nobody there for a change")
DAEMONS: dict[str, list[str]] = {
    "core without settings": ["core"],
    "edge without settings": ["edge"],
    "prober with faults": ["prober", "--name", "a b", "--sets", "term_seconds=0", "nothing=1"],
    "core with a file that is not there": ["core", "--settings", "none.toml"],
}


class Listener:
    """Notes requests and answers them one after another."""

    def __init__(self, answers: list[Answer]) -> None:
        requests = self.requests = list[object]()
        waiting = list(answers)
        owner = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                fields = [[name, value] for name, value in self.headers.items()]
                requests.append(
                    {
                        "line": self.requestline,
                        "fields": [[name, owner.shown(value)] for name, value in fields],
                        "body": json.loads(body) if body else None,
                    }
                )
                status, answer = waiting.pop(0)
                if not status:
                    self.close_connection = True
                    return
                text = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                address = f"127.0.0.1:{owner.port}"
                text = text.replace(b"ADDRESS", address.encode())
                self.send_response(status)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            do_GET = do_POST = serve  # noqa: N815 - names of http.server

            def log_message(self, *_: object) -> None:
                """Nothing is printed."""

        self.server = HTTPServer(("127.0.0.1", 0), Handler)
        self.port = self.server.server_port
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True)
        self.thread.start()

    def shown(self, text: str) -> str:
        """Return text without the port."""
        return text.replace(f"127.0.0.1:{self.port}", "ADDRESS")

    def close(self) -> None:
        """Stop listening."""
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()


@contextlib.contextmanager
def listening(answers: list[Answer]) -> Iterator[Listener]:
    listener = Listener(answers)
    try:
        yield listener
    finally:
        listener.close()


@contextlib.contextmanager
def folder_of_files() -> Iterator[None]:
    """Stand in a folder with the files of changes."""
    with tempfile.TemporaryDirectory() as folder, contextlib.chdir(folder):
        for name, text in FILES.items():
            Path(name).write_text(text)
        yield


def run_command(arguments: list[str]) -> dict[str, object]:
    """Run the program with arguments; return its exit code and what it printed."""
    out, err = io.StringIO(), io.StringIO()
    code: object = None
    with (
        mock.patch.object(sys, "argv", ["ryelock", *arguments]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            run_program()
        except SystemExit as ended:
            code = ended.code
    return {"code": code, "out": out.getvalue(), "err": err.getvalue()}


RANDOM_ID_LENGTH = 32


def known(value: object) -> object:
    """Return a value without random ids, which are 32 hex digits."""
    if isinstance(value, dict):
        return {key: known(item) for key, item in value.items()}
    if isinstance(value, list):
        return [known(item) for item in value]
    if isinstance(value, str) and len(value) == RANDOM_ID_LENGTH:
        return "RANDOM" if all(letter in "0123456789abcdef" for letter in value) else value
    return value


def command_run(name: str) -> dict[str, object]:
    """Run one operator's command against a listener."""
    arguments, answers = RUNS[name]
    with folder_of_files(), listening(answers) as listener, socket.socket() as silent:
        silent.bind(("127.0.0.1", 0))
        if name in NOBODY:
            listener.port = silent.getsockname()[1]
        found = run_command([*arguments, "--at", f"127.0.0.1:{listener.port}"])
    found["err"] = "usage" if "usage:" in str(found["err"]) else listener.shown(str(found["err"]))
    found["requests"] = known(listener.requests)
    return {
        key: listener.shown(value) if isinstance(value, str) else value
        for key, value in found.items()
    }


def command_runs() -> dict[str, object]:
    return {name: command_run(name) for name in RUNS}


def daemon_faults() -> dict[str, object]:
    """Run daemons whose settings have faults; none of them starts."""
    with folder_of_files():
        return {name: run_command(arguments) for name, arguments in DAEMONS.items()}


def options() -> dict[str, object]:
    """Return the parameters of each subcommand: name, kind, default and type."""
    found: dict[str, object] = {}
    for name in ALL:
        parameters = inspect.signature(getattr(PROGRAM, name)).parameters.values()
        found[name] = [
            {
                "name": parameter.name,
                "option": parameter.kind is inspect.Parameter.KEYWORD_ONLY,
                "needed": parameter.default is inspect.Parameter.empty,
                "default": None
                if parameter.default is inspect.Parameter.empty
                else parameter.default,
                "type": str(getattr(parameter.annotation, "__name__", parameter.annotation)),
            }
            for parameter in parameters
        ]
    return {"options": found, "exit codes": exit_codes()}


def usage(name: str) -> list[str]:
    """Return the options that the help of a subcommand shows, without its texts."""
    text = str(run_command([name, "--help"])["out"])
    words = text.partition("\n\n")[0].replace("[", " ").replace("]", " ").split()
    return [word for word in words if word.startswith("-") or word == name or word.isidentifier()]


def usages() -> dict[str, list[str]]:
    return {name: usage(name) for name in ALL}


RECORDERS: dict[str, Callable[[], object]] = {
    "command-runs.json": command_runs,
    "command-daemons.json": daemon_faults,
    "command-options.json": options,
    "command-usage.json": usages,
}


class CommandTests(GoldenTest):
    def test_every_subcommand_is_known(self) -> None:
        self.assertEqual(set(ALL), subcommands_in_code())

    def test_options_are_as_ever(self) -> None:
        self.assert_golden("command-options.json", options())

    def test_usage_is_as_ever(self) -> None:
        self.assert_golden("command-usage.json", usages())

    def test_commands_send_and_exit_as_ever(self) -> None:
        self.assert_golden("command-runs.json", command_runs())

    def test_faulty_settings_end_a_daemon_as_ever(self) -> None:
        self.assert_golden("command-daemons.json", daemon_faults())
