"""The program started as a subprocess: exit codes and error messages without a traceback."""

import json
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

SEEDS = "127.0.0.1:7001,127.0.0.1:7002,127.0.0.1:7003"


def run_program(*arguments: str) -> tuple[int, str, str]:
    completed = subprocess.run(
        [sys.executable, "-m", "ryelock.cli", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return completed.returncode, completed.stdout, completed.stderr


class ProgramTests(testtools.TestCase):
    def write_settings(self, **changed: object) -> str:
        folder = Path(tempfile.mkdtemp())
        settings = {
            "name": "core-1",
            "zone": "north",
            "seeds": SEEDS.split(","),
            "wire_address": "127.0.0.1:0",
            "control_address": "127.0.0.1:0",
            "data_folder": str(folder / "data"),
            **changed,
        }
        file = folder / "core.json"
        file.write_text(json.dumps(settings))
        return str(file)

    def test_help_names_every_subcommand(self) -> None:
        code, out, _ = run_program("--help")
        self.assertEqual(0, code)
        for subcommand in (
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
            self.assertIn(subcommand, out)

    def test_invalid_settings_are_reported_before_any_port_opens(self) -> None:
        code, _, error = run_program(
            "core", "--settings", self.write_settings(zone="no rth", beat_seconds=0.5, listing="x")
        )
        self.assertEqual(2, code)
        self.assertEqual(
            ["zone", "listing", "election_seconds"],
            [line.split(": ")[1] for line in error.splitlines()],
        )
        code, _, error = run_program("core", "--settings", "/nowhere.toml")
        self.assertEqual(2, code)
        self.assertIn("No such file", error)

    def test_a_port_in_use_and_an_unusable_folder_are_reported_in_one_line(self) -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            code, _, error = run_program(
                "core", "--settings", self.write_settings(control_address=address)
            )
        self.assertEqual((1, 1), (code, len(error.splitlines())), error)
        self.assertIn(f"cannot listen on {address}", error)
        file = Path(tempfile.mkdtemp()) / "file"
        file.write_text("")
        code, _, error = run_program(
            "core", "--settings", self.write_settings(data_folder=str(file))
        )
        self.assertEqual((1, 1), (code, len(error.splitlines())), error)
        self.assertIn("data folder", error)

    def test_commands_report_that_no_node_was_reached(self) -> None:
        code, _, error = run_program("read", "--at", "127.0.0.1:1")
        self.assertEqual(5, code)
        self.assertIn("127.0.0.1:1", error)
        code, _, error = run_program("apply", "/nowhere.json", "--at", "127.0.0.1:1")
        self.assertEqual(2, code)
