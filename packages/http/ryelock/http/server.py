"""The HTTP server: a listener, one task per connection, and a graceful stop.

A connection above the limit gets a 503 response and is closed. If a response was started and
cannot be finished, its connection is aborted, so that the client detects it as incomplete.
"""

from ryelock.events import Log
from ryelock.http.connection import RequestHandler, ServerConnection
from ryelock.http.limits import Limits
from ryelock.runtime import Connection, Network, Scheduler, Task

REJECT_BEFORE_DEADLINE_FRACTION = 0.1
MAX_REJECT_BEFORE_DEADLINE_SECONDS = 0.3
"""Time before the deadline of a stop at which requests that still wait get a 503 response: a
fraction of the stop's timeout, up to the maximum. Short, since a server may be about to respond."""
IDLE_GRACE_SECONDS = 0.5
"""Time for which idle connections stay open after a stop has begun."""
STOP_POLL_SECONDS = 0.02
TOO_MANY_CONNECTIONS_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class HttpServer:
    """Serves HTTP/1.1 at one address.

    Attributes:
        address: host:port of the listener.
        limits: limits for clients; may be changed while the server runs.
        connections: the task of each open connection.
        server_connections: the state of each open connection that is being served.
        closing_connections: closed connections whose last bytes may still be unsent.
        draining: set by the owner to close each connection after its next response while new
            connections are still accepted.
        closing: True once the server has stopped listening.
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
        "server_connections",
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
            network: provides the listener.
            log: receives an event for each malformed request.
            address: host:port; with port 0 the system chooses a port, see `self.address`.
            limits: limits for clients.
            handler: called with each request.
            bulk: give the connections low priority on the network link; see `Connection.bulk`.

        Raises:
            NetworkError: the server cannot listen at the address.
        """
        self.bulk = bulk
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.limits = limits
        self.handler = handler
        self.connections: dict[Connection, Task] = {}
        self.server_connections: dict[Connection, ServerConnection] = {}
        self.closing_connections: list[Connection] = []
        self.closing = False
        self.draining = False
        self.address = network.listen(address, self.accept)

    @property
    def closes_after_response(self) -> bool:
        """Return True if each connection is closed after its next response."""
        return self.closing or self.draining

    @property
    def is_handling(self) -> bool:
        """Return True if the handler runs for at least one request."""
        return any(serving.is_handling for serving in self.server_connections.values())

    @property
    def has_unsent(self) -> bool:
        """Return True if at least one connection has unsent bytes."""
        return any(
            connection.unsent_bytes for connection in (*self.connections, *self.closing_connections)
        )

    def accept(self, connection: Connection) -> None:
        """Start the task of an accepted connection, or reject it if too many are open."""
        if len(self.connections) >= self.limits.max_connections:
            connection.write(TOO_MANY_CONNECTIONS_RESPONSE)
            connection.close()
            return
        connection.bulk = self.bulk
        self.connections[connection] = self.scheduler.create_task(
            self.serve(connection), name=f"http from {connection.peer}"
        )

    async def serve(self, connection: Connection) -> None:
        """Serve one connection until it ends, then close or abort it."""
        serving = self.server_connections[connection] = ServerConnection(self, connection)
        try:
            await serving.serve()
        finally:
            self.connections.pop(connection, None)
            self.server_connections.pop(connection, None)
            if serving.has_incomplete_response:
                connection.abort()
            else:
                self.close_connection(connection)

    def close_connection(self, connection: Connection) -> None:
        """Close a connection; `has_unsent` still counts it until its last bytes are sent."""
        self.closing_connections = [
            other for other in self.closing_connections if other.unsent_bytes
        ]
        if connection.unsent_bytes:
            self.closing_connections.append(connection)
        connection.close()

    def stop_accepting(self) -> None:
        """Stop listening; each open connection is closed after its current response."""
        if not self.closing:
            self.closing = True
            self.network.stop_listening(self.address)

    async def finish(self, timeout: float) -> bool:
        """Wait up to `timeout` seconds for responses in progress, then close all connections.

        An idle connection stays open for IDLE_GRACE_SECONDS: a request may already be in transit
        and then gets a response with `Connection: close`. After that it is closed even while other
        responses are in progress, as later requests might not be handled before the deadline.

        Returns:
            True if every response was sent.
        """
        now = self.scheduler.now()
        idle_until, deadline = now + IDLE_GRACE_SECONDS, now + timeout
        reject_at = deadline - min(
            MAX_REJECT_BEFORE_DEADLINE_SECONDS, REJECT_BEFORE_DEADLINE_FRACTION * timeout
        )
        while now < deadline and (
            self.is_handling or self.has_unsent or (self.connections and now < idle_until)
        ):
            if now >= idle_until:
                self.close_idle()
            if now >= reject_at:
                self.reject_waiting()
            await self.scheduler.sleep(STOP_POLL_SECONDS)
            now = self.scheduler.now()
        done = not self.is_handling and not self.has_unsent
        for connection, task in list(self.connections.items()):
            task.cancel()
            connection.close()
        return done

    def close_idle(self) -> None:
        """Close the connections on which no byte of a request was received."""
        for connection, serving in list(self.server_connections.items()):
            if serving.is_idle and not len(connection.received):
                self.connections[connection].cancel()

    def reject_waiting(self) -> None:
        """Respond 503 to waiting requests that can be retried, and close their connections."""
        for connection, serving in list(self.server_connections.items()):
            exchange = serving.exchange
            if exchange is not None and exchange.may_refuse and not exchange.response_started:
                exchange.send_head(503, b"", [(b"Retry-After", b"0")], 0)
                exchange.finish()
                self.connections[connection].cancel()
