"""Signals that come while a daemon is loaded or exits do not end it with an error.

Found by the soak: a second SIGTERM ended a process that had stopped, with exit code -15.
"""

import signal
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
EXITING = """
import os, signal
from ryelock.cli import daemon

class SendsAtExit:
    '''Is unloaded after Python has reset the handlers.'''
    def __del__(self, kill=os.kill, process=os.getpid(), number=signal.{name}):
        kill(process, number)

class Node:
    def start(self): os.kill(os.getpid(), signal.SIGTERM)
    def follow(self, settings): pass
    async def stop(self): pass

class Settings:
    name, link_bytes = "edge-1", 0

last = SendsAtExit()
raise SystemExit(daemon.run_node("edge", Settings(), lambda *_: Node()))
"""
LOADING = """
import runpy, signal, sys

class HangupDuringImport:
    '''Stands for a SIGHUP that comes while a module is imported.'''
    def find_spec(self, name, path=None, target=None):
        if name in {modules!r}:
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
            raise SystemExit(0)

# The run of the tests may ignore SIGHUP itself, as under nohup, and children inherit that.
signal.signal(signal.SIGHUP, signal.SIG_DFL)
sys.meta_path.insert(0, HangupDuringImport())
sys.argv = {arguments!r}
{run}
"""


def run_code(code: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-W", "ignore", "-c", code], capture_output=True, text=True, check=False
    )


class SignalTests(unittest.TestCase):
    def test_a_signal_while_python_exits_does_not_end_the_process(self) -> None:
        """Guards against an exit code of -15 after a complete stop."""
        for name in ("SIGTERM", "SIGHUP", "SIGINT"):
            ended = run_code(EXITING.format(name=name))
            self.assertEqual(0, ended.returncode, f"{name}: {ended.stderr}")

    def test_sighup_is_ignored_while_the_program_is_loaded(self) -> None:
        """Guards against the end of a daemon by a SIGHUP in its first tenth of a second."""
        program = str(ROOT / "platform" / "start.py")
        for modules, arguments, run in (
            (("settings",), [program, "edge"], f"runpy.run_path({program!r}, run_name='__main__')"),
            (
                ("defopt",),
                ["ryelock", "edge"],
                "runpy.run_module('ryelock.cli', run_name='__main__', alter_sys=False)",
            ),
        ):
            ended = run_code(LOADING.format(modules=modules, arguments=arguments, run=run))
            self.assertEqual("True", ended.stdout.strip(), ended.stderr)

    def test_an_operators_command_still_ends_with_its_terminal(self) -> None:
        before = signal.getsignal(signal.SIGHUP)
        run = "runpy.run_module('ryelock.cli', run_name='__main__', alter_sys=False)"
        ended = run_code(
            LOADING.format(modules=("defopt",), arguments=["ryelock", "read"], run=run)
        )
        self.assertEqual("False", ended.stdout.strip(), ended.stderr)
        self.assertEqual(before, signal.getsignal(signal.SIGHUP))


if __name__ == "__main__":
    unittest.main()
