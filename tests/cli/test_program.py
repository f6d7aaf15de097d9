"""The program as a user starts it: exit codes and plain messages where it cannot start."""

import json
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

SEEDS = "127.0.0.1:7001,127.0.0.1:7002,127.0.0.1:7003"


def program(*words: str) -> tuple[int, str, str]:
    found = subprocess.run(
        [sys.executable, "-m", "ryelock.cli", *words],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return found.returncode, found.stdout, found.stderr


class ProgramTests(testtools.TestCase):
    def settings(self, **changed: object) -> str:
        folder = Path(tempfile.mkdtemp())
        plain = {
            "name": "core-1",
            "zone": "north",
            "seeds": SEEDS.split(","),
            "wire_address": "127.0.0.1:0",
            "control_address": "127.0.0.1:0",
            "data_folder": str(folder / "data"),
            **changed,
        }
        file = folder / "core.json"
        file.write_text(json.dumps(plain))
        return str(file)

    def test_help_names_every_subcommand(self) -> None:
        code, out, _ = program("--help")
        self.assertEqual(0, code)
        for word in (
            "core",
            "edge",
            "prober",
            "apply",
            "read",
            "purge",
            "drain",
            "recover",
            "verdicts",
            "explain",
        ):
            self.assertIn(word, out)

    def test_bad_settings_are_named_before_any_port_opens(self) -> None:
        code, _, error = program(
            "core", "--settings", self.settings(zone="no rth", beat_seconds=0.5, listing="x")
        )
        self.assertEqual(2, code)
        self.assertEqual(
            ["zone", "listing", "election_seconds"],
            [line.split(": ")[1] for line in error.splitlines()],
        )
        code, _, error = program("core", "--settings", "/nowhere.toml")
        self.assertEqual(2, code)
        self.assertIn("No such file", error)

    def test_a_port_in_use_and_an_unusable_folder_have_one_line(self) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            place = f"127.0.0.1:{taken.getsockname()[1]}"
            code, _, error = program("core", "--settings", self.settings(control_address=place))
        self.assertEqual((1, 1), (code, len(error.splitlines())), error)
        self.assertIn(f"cannot listen on {place}", error)
        file = Path(tempfile.mkdtemp()) / "file"
        file.write_text("")
        code, _, error = program("core", "--settings", self.settings(data_folder=str(file)))
        self.assertEqual((1, 1), (code, len(error.splitlines())), error)
        self.assertIn("data folder", error)

    def test_commands_report_that_no_node_was_reached(self) -> None:
        code, _, error = program("read", "--at", "127.0.0.1:1")
        self.assertEqual(5, code)
        self.assertIn("127.0.0.1:1", error)
        code, _, error = program("apply", "/nowhere.json", "--at", "127.0.0.1:1")
        self.assertEqual(2, code)
