"""Event loop: coroutine tasks, queues, timers and connections.

Higher layers use only Scheduler, Queue, Connection and Network, so that the same code runs on
circuits in a daemon and on a seeded clock and network in the simulator.

- `tasks`: the scheduler.
- `network`: the interface of connections.
- `egress`: pacing of bulk responses.
- `reactor`: sockets of a daemon. Not exported here, so that only a daemon imports circuits.
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
