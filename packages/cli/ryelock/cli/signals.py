"""Signals of a daemon outside of its event loop: while it is loaded and while it exits.

Python resets the handlers of signals before it unloads modules, and a daemon's handlers are set
only after its modules are loaded. In both phases the default action would end the process.
"""

import signal


def ignore_hangup() -> None:
    """Ignore SIGHUP until the event loop handles it: the settings are read after that anyway."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def ignore_further_signals() -> None:
    """Ignore all signals that stop a daemon, since it has stopped and only has to exit."""
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
