"""The RPC client: calls to other processes over one connection per address."""

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
"""A call fails after this time, before its own timeout, if the connection is not established."""

ResponseQueue = Queue[Message | None]
"""Receives the response to one call, or None once the connection has ended."""


class RpcClient:
    """A client of one address: a connection, opened on demand, with many calls in flight.

    If a call times out and nothing was received meanwhile, the connection is aborted: the peer may
    be frozen, partitioned or replaced, which TCP would detect only after minutes.
    """

    __slots__ = (
        "address",
        "connection",
        "last_call_number",
        "log",
        "network",
        "pending_calls",
        "reader",
        "received_chunks",
        "scheduler",
    )

    def __init__(self, scheduler: Scheduler, network: Network, log: Log, address: str) -> None:
        """Create a client of host:port that connects on the first call."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.address = address
        self.connection: Connection | None = None
        self.reader: Task | None = None
        self.last_call_number = 0
        self.received_chunks = 0
        self.pending_calls: dict[int, ResponseQueue] = {}

    async def call(self, message: Message, timeout: float) -> Result[Message, NoResponseError]:
        """Send a message and wait for its response, at most `timeout` seconds.

        Calls are not retried; `NoResponseError.sent` is True if the call may have taken effect.
        """
        deadline = self.scheduler.now() + timeout
        connection = self.open_connection()
        self.last_call_number += 1
        call_number = self.last_call_number
        responses: ResponseQueue = Queue(self.scheduler)
        self.pending_calls[call_number] = responses
        received_before = self.received_chunks
        try:
            connection.write(encode_frame({**message, CALL_NUMBER: call_number}))
            response = await responses.get(min(timeout, CONNECT_TIMEOUT_SECONDS))
            if response is None and connection.connected and not connection.closed:
                response = await responses.get(max(0.0, deadline - self.scheduler.now()))
        finally:
            self.pending_calls.pop(call_number, None)
        if response is None:
            if self.connection is connection and self.received_chunks == received_before:
                self.abort()
            return Error(NoResponseError(self.address, connection.connected))
        return Ok(response)

    def open_connection(self) -> Connection:
        """Return the connection; open a new one if there is none or it has ended."""
        connection = self.connection
        if connection is None or connection.closed:
            connection = self.network.connect(self.address)
            self.connection = connection
            connection.write(HANDSHAKE)
            self.reader = self.scheduler.create_task(
                self.read_responses(connection), name=f"rpc to {self.address}", urgent=True
            )
        return connection

    async def read_responses(self, connection: Connection) -> None:
        """Deliver responses to the waiting calls until the connection ends."""
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
            # If the connection was replaced, the pending calls belong to the new one.
            if self.connection is connection:
                self.connection = None
                for responses in list(self.pending_calls.values()):
                    responses.put(None)

    def on_response(self, message: Message) -> None:
        """Deliver a response to its call; discard it if the call has timed out."""
        call_number = message.pop(RESPONSE_NUMBER, None)
        responses = self.pending_calls.get(call_number) if isinstance(call_number, int) else None
        if responses is not None:
            responses.put(message)

    def abort(self) -> None:
        """Abort the connection; pending calls end without a response."""
        if self.connection is not None:
            self.connection.abort()


class RpcClients:
    """The RPC clients of one process by address."""

    __slots__ = ("clients", "log", "network", "scheduler")

    def __init__(self, scheduler: Scheduler, network: Network, log: Log) -> None:
        """Create an empty set of clients."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.clients: dict[str, RpcClient] = {}

    def client(self, address: str) -> RpcClient:
        """Return the client of host:port; create it if there is none."""
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
