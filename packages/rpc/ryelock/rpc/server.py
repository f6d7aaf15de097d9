"""The RPC server: receives calls and sends their responses."""

from collections.abc import Callable

from ryelock.events import FRAME_REJECTED, Log
from ryelock.rpc.errors import FrameError, MissingCallNumberError
from ryelock.rpc.frames import (
    CALL_NUMBER,
    HANDSHAKE,
    RESPONSE_NUMBER,
    HandshakeFrameDecoder,
    Message,
    encode_frame,
)
from ryelock.runtime import Connection, Network, Scheduler, Task

IDLE_TIMEOUT_SECONDS = 60.0
"""A connection is closed if nothing is received on it for this time."""

Reply = Callable[[Message], None]
"""Sends the response to one call; does nothing if the connection has ended."""
MessageHandler = Callable[[Message, Reply], None]
"""Handles a received call; it may keep the Reply and call it later, in any order."""


class RpcServer:
    """Listens at an address and passes each call to a handler; one task per connection."""

    __slots__ = ("address", "connections", "handler", "log", "network", "scheduler")

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        address: str,
        handler: MessageHandler,
    ) -> None:
        """Listen at an address.

        Args:
            scheduler: runs the connections' tasks.
            network: provides the listener.
            log: receives an event for each malformed frame.
            address: host:port; with port 0 the system chooses a port, see `self.address`.
            handler: called with each message and a function that sends the response.

        Raises:
            NetworkError: the server cannot listen at the address.
        """
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.handler = handler
        self.connections: dict[Connection, Task] = {}
        self.address = network.listen(address, self.accept)

    def accept(self, connection: Connection) -> None:
        """Start the task of an accepted connection."""
        self.connections[connection] = self.scheduler.create_task(
            self.serve(connection), name=f"rpc from {connection.peer}"
        )

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.network.stop_listening(self.address)
        for connection, task in list(self.connections.items()):
            task.cancel()
            connection.close()

    async def serve(self, connection: Connection) -> None:
        """Read calls from one connection until it ends or the peer sends a malformed frame."""
        decoder = HandshakeFrameDecoder()
        connection.write(HANDSHAKE)
        try:
            while True:
                data = await connection.receive(IDLE_TIMEOUT_SECONDS)
                if not data:
                    return
                for message in decoder.feed(data):
                    call_number = message.pop(CALL_NUMBER, None)
                    if not isinstance(call_number, int):
                        raise MissingCallNumberError
                    self.handler(message, self.reply_to(connection, call_number))
        except FrameError as error:
            self.log.write(FRAME_REJECTED, peer=connection.peer, fault=str(error))
        finally:
            self.connections.pop(connection, None)
            connection.close()

    def reply_to(self, connection: Connection, call_number: int) -> Reply:
        """Return a function that sends the response to a call."""

        def reply(message: Message) -> None:
            if not connection.closed:
                connection.write(encode_frame({**message, RESPONSE_NUMBER: call_number}))

        return reply
