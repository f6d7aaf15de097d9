"""The one place that touches the inside of circuits: tasks, mailboxes, beats, clock and network.

Everything above is written against Scheduler, Mailbox, Link and Network, so that the same
code runs on circuits in a daemon and on a seeded clock and network in the simulator.
"""

from ryelock.runtime.network import Connection, ConnectionHandler, Network, NetworkError
from ryelock.runtime.tasks import Clock, Queue, Scheduler, Task, TaskCoroutine, Wait

__all__ = [
    "Clock",
    "Connection",
    "ConnectionHandler",
    "Network",
    "NetworkError",
    "Queue",
    "Scheduler",
    "Task",
    "TaskCoroutine",
    "Wait",
]
