"""Event loop: coroutine tasks, queues, timers and connections.

Everything above is written against Scheduler, Queue, Connection and Network, so that the same code
runs on circuits in a daemon and on a seeded clock and network in the simulator. `tasks` has the
scheduler, `network` the interface of connections, `egress` the pacing of bulk responses. `reactor`,
which is not exported here, has the connections of a daemon: only a daemon loads circuits.
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
