"""Limits that a server applies to its clients."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits of one server.

    Not frozen: an edge changes the limits of a running server when it reloads its settings.

    Attributes:
        head_bytes: maximum size of a request head.
        body_bytes: maximum size of a body read by `HttpExchange.read_body`.
        max_connections: maximum number of open connections; further ones get a 503 response.
        idle_seconds: timeout of a connection that waits for its next request.
        request_seconds: timeout for receiving a request head, and again for its body.
    """

    head_bytes: int = 32_768
    body_bytes: int = 8_388_608
    max_connections: int = 4096
    idle_seconds: float = 30.0
    request_seconds: float = 10.0
