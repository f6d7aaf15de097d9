"""A caller's persistent connection (RFC 9112, section 9.3)."""

from ryelock.http import Reader
from ryelock.runtime import Connection, Network, Scheduler


class PersistentConnection:
    """One connection to one address at a time, kept between requests."""

    __slots__ = ("connection", "network", "reader", "scheduler")

    def __init__(self, scheduler: Scheduler, network: Network) -> None:
        """Create it without a connection."""
        self.scheduler = scheduler
        self.network = network
        self.connection: Connection | None = None
        self.reader: Reader | None = None

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def open(self, address: str, timeout: float) -> tuple[Connection, Reader] | None:
        """Return the connection to an address, a new one unless the kept one leads there.

        Args:
            address: host:port.
            timeout: seconds after which a new connection is given up.

        Returns:
            The connection and its reader; None where it does not open.
        """
        connection, reader = self.connection, self.reader
        if (
            connection is not None
            and reader is not None
            and not connection.closed
            and connection.peer == address
        ):
            return connection, reader
        self.close()
        connection = self.connection = self.network.connect(address)
        reader = self.reader = Reader(self.scheduler, connection)
        if await connection.wait_connected(timeout):
            return connection, reader
        self.close()
        return None
