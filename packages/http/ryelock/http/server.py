"""The server side: a listener, one task a connection, and an orderly stop.

A connection above the limit is answered with 503 at once. A response that was started and cannot
be finished ends by aborting its connection, so that no client can take it as complete.
"""

from ryelock.events import Log
from ryelock.http.connection import RequestHandler, ServerConnection
from ryelock.http.limits import Limits
from ryelock.runtime import Connection, Network, Scheduler, Task

REFUSAL_SECONDS = 0.5
"""So long before a stop's end, requests that still wait are rejected instead of cut."""
IDLE_GRACE_SECONDS = 0.5
"""After a stop began, a connection without a request stays open for so long."""
STOP_POLL_SECONDS = 0.02
"""How often a stop looks whether the responses are sent."""
TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class HttpServer:
    """Serves HTTP/1.1 at one address.

    Attributes:
        address: host:port that is listened on.
        limits: what is taken from clients; may be changed while the server runs.
        connections: the task of each open connection.
        draining: set by the owner: connections end with their next response, new ones are taken.
        closing: whether the server has stopped listening.
    """

    __slots__ = (
        "address",
        "bulk",
        "closing",
        "closing_connections",
        "connections",
        "draining",
        "handler",
        "limits",
        "log",
        "network",
        "scheduler",
        "serving",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        address: str,
        limits: Limits,
        handler: RequestHandler,
        bulk: bool = False,
    ) -> None:
        """Listen at an address.

        Args:
            scheduler: runs the connections' tasks.
            network: what listens.
            log: takes an event for each malformed request.
            address: host:port; with port 0 the system chooses, and `self.address` has its choice.
            limits: what is taken from clients.
            handler: answers each request.
            bulk: whether the connections give way to others on the machine's link; see Connection.

        Raises:
            NetworkError: the address cannot be listened on.
        """
        self.bulk = bulk
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.limits = limits
        self.handler = handler
        self.connections: dict[Connection, Task] = {}
        self.serving: dict[Connection, ServerConnection] = {}
        self.closing_connections: list[Connection] = []
        self.closing = False
        self.draining = False
        self.address = network.listen(address, self.accept)

    @property
    def ends_connections(self) -> bool:
        """Whether connections end with the response that is sent on them next."""
        return self.closing or self.draining

    @property
    def is_handling(self) -> bool:
        """Whether a request is being answered."""
        return any(serving.is_handling for serving in self.serving.values())

    @property
    def has_unsent(self) -> bool:
        """Whether bytes of a response are still to be sent."""
        return any(
            connection.unsent_bytes for connection in (*self.connections, *self.closing_connections)
        )

    def accept(self, connection: Connection) -> None:
        """Start to serve an accepted connection, or reject it where there are too many."""
        if len(self.connections) >= self.limits.max_connections:
            connection.write(TOO_MANY_CONNECTIONS)
            connection.close()
            return
        connection.bulk = self.bulk
        self.connections[connection] = self.scheduler.create_task(
            self.serve(connection), name=f"http from {connection.peer}"
        )

    async def serve(self, connection: Connection) -> None:
        """Serve one connection to its end."""
        serving = self.serving[connection] = ServerConnection(self, connection)
        try:
            await serving.serve()
        finally:
            self.connections.pop(connection, None)
            self.serving.pop(connection, None)
            if serving.has_cut_response:
                connection.abort()
            else:
                self.close(connection)

    def close(self, connection: Connection) -> None:
        """End a connection; one with unsent bytes is remembered until they are sent."""
        self.closing_connections = [
            other for other in self.closing_connections if other.unsent_bytes
        ]
        if connection.unsent_bytes:
            self.closing_connections.append(connection)
        connection.close()

    def stop_accepting(self) -> None:
        """Stop listening; open connections end with the response that they are in."""
        if not self.closing:
            self.closing = True
            self.network.stop_listening(self.address)

    async def finish(self, timeout: float) -> bool:
        """Wait for open responses, at most `timeout` seconds, then end all connections.

        An idle connection is kept a little: a request may be on its way on it, and gets a response
        that says the connection closes. Then it ends, however long other responses take: what came
        on it later could not be answered in time.

        Returns:
            Whether every response was sent.
        """
        now = self.scheduler.now()
        idle_until, deadline = now + IDLE_GRACE_SECONDS, now + timeout
        while now < deadline and (
            self.is_handling or self.has_unsent or (self.connections and now < idle_until)
        ):
            if now >= idle_until:
                self.close_idle()
            if now >= deadline - REFUSAL_SECONDS:
                self.refuse_waiting()
            await self.scheduler.sleep(STOP_POLL_SECONDS)
            now = self.scheduler.now()
        done = not self.is_handling and not self.has_unsent
        for connection, task in list(self.connections.items()):
            task.cancel()
            connection.close()
        return done

    def close_idle(self) -> None:
        """End the connections on which no byte of a request has come."""
        for connection, serving in list(self.serving.items()):
            if serving.is_idle and not len(connection.received):
                self.connections[connection].cancel()

    def refuse_waiting(self) -> None:
        """Reject the requests that wait and may be sent again; their connections end."""
        for connection, serving in list(self.serving.items()):
            exchange = serving.exchange
            if exchange is not None and exchange.may_refuse and not exchange.response_started:
                exchange.send_head(503, b"", [(b"Retry-After", b"0")], 0)
                exchange.finish()
                self.connections[connection].cancel()
