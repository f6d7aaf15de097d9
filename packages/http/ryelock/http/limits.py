"""What a server takes from its clients."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits of one server; sizes in bytes, durations in seconds.

    Not frozen: an edge changes the limits of a running server when its settings are read again.

    Attributes:
        head_bytes: longest head of a request.
        body_bytes: longest body that `HttpExchange.read_body` takes.
        max_connections: further connections are answered with 503 at once.
        idle_seconds: how long a connection may wait for its next request.
        request_seconds: deadline of a request's head and, from there on, of its body.
    """

    head_bytes: int = 32_768
    body_bytes: int = 8_388_608
    max_connections: int = 4096
    idle_seconds: float = 30.0
    request_seconds: float = 10.0
