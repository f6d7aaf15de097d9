"""The client side: calls to other processes over one connection an address."""

from expression import Error, Ok, Result

from ryelock.events import FRAME_REJECTED, Log
from ryelock.rpc.errors import FrameError, NoResponseError
from ryelock.rpc.frames import (
    CALL_NUMBER,
    HANDSHAKE,
    RESPONSE_NUMBER,
    HandshakeFrameDecoder,
    Message,
    encode_frame,
)
from ryelock.runtime import Connection, Network, Queue, Scheduler, Task

CONNECT_TIMEOUT_SECONDS = 0.6
"""A call on a connection that is not open after so long fails before its own timeout."""

ResponseQueue = Queue[Message | None]
"""Gets the response to one call, or None once its connection has ended."""


class RpcClient:
    """Calls to one address: a connection that is opened when needed, many calls in flight.

    A connection on which nothing at all arrived while a call timed out is aborted: the other side
    may be frozen, cut off or replaced, and TCP alone would take minutes to notice.
    """

    __slots__ = (
        "address",
        "connection",
        "log",
        "network",
        "pending_calls",
        "reader",
        "received_chunks",
        "scheduler",
        "sequence",
    )

    def __init__(self, scheduler: Scheduler, network: Network, log: Log, address: str) -> None:
        """Create a client of host:port; it connects at the first call."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.address = address
        self.connection: Connection | None = None
        self.reader: Task | None = None
        self.sequence = 0
        self.received_chunks = 0
        self.pending_calls: dict[int, ResponseQueue] = {}

    async def call(self, message: Message, timeout: float) -> Result[Message, NoResponseError]:
        """Send a message and wait for its response, at most `timeout` seconds.

        Nothing is retried here: whether the call may have taken effect is in the error's `sent`.
        """
        deadline = self.scheduler.now() + timeout
        connection = self.open_connection()
        self.sequence += 1
        number = self.sequence
        responses: ResponseQueue = Queue(self.scheduler)
        self.pending_calls[number] = responses
        received_before = self.received_chunks
        try:
            connection.write(encode_frame({**message, CALL_NUMBER: number}))
            response = await responses.get(min(timeout, CONNECT_TIMEOUT_SECONDS))
            if response is None and connection.connected and not connection.closed:
                response = await responses.get(max(0.0, deadline - self.scheduler.now()))
        finally:
            self.pending_calls.pop(number, None)
        if response is None:
            if self.connection is connection and self.received_chunks == received_before:
                self.abort()
            return Error(NoResponseError(self.address, connection.connected))
        return Ok(response)

    def open_connection(self) -> Connection:
        """Return the connection, a new one where there is none or it has ended."""
        connection = self.connection
        if connection is None or connection.closed:
            connection = self.network.connect(self.address)
            self.connection = connection
            connection.write(HANDSHAKE)
            self.reader = self.scheduler.create_task(
                self.read(connection), name=f"rpc to {self.address}", urgent=True
            )
        return connection

    async def read(self, connection: Connection) -> None:
        """Hand responses to the calls that wait for them until the connection ends."""
        decoder = HandshakeFrameDecoder()
        try:
            while True:
                data = await connection.receive(None)
                if not data:
                    return
                self.received_chunks += 1
                for message in decoder.feed(data):
                    self.on_response(message)
        except FrameError as error:
            self.log.write(FRAME_REJECTED, peer=connection.peer, fault=str(error))
        finally:
            connection.close()
            # The connection may have been replaced: then the calls in flight are on the new one.
            if self.connection is connection:
                self.connection = None
                for responses in list(self.pending_calls.values()):
                    responses.put(None)

    def on_response(self, message: Message) -> None:
        """Hand a response to its call; one whose call has timed out is dropped."""
        number = message.pop(RESPONSE_NUMBER, None)
        responses = self.pending_calls.get(number) if isinstance(number, int) else None
        if responses is not None:
            responses.put(message)

    def abort(self) -> None:
        """Reset the connection; the calls in flight end without a response."""
        if self.connection is not None:
            self.connection.abort()


class RpcClients:
    """The clients of one process, by address."""

    __slots__ = ("clients", "log", "network", "scheduler")

    def __init__(self, scheduler: Scheduler, network: Network, log: Log) -> None:
        """Create an empty table of clients."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.clients: dict[str, RpcClient] = {}

    def client(self, address: str) -> RpcClient:
        """Return the client of host:port, creating it when needed."""
        client = self.clients.get(address)
        if client is None:
            client = RpcClient(self.scheduler, self.network, self.log, address)
            self.clients[address] = client
        return client

    async def call(
        self, address: str, message: Message, timeout: float
    ) -> Result[Message, NoResponseError]:
        """Call the process at host:port; see RpcClient.call."""
        return await self.client(address).call(message, timeout)
