"""HTTP/1.1 on both sides, byte-exact and bounded.

See heads.py for what circuits.web's parser is kept for and what it is not, reading.py for
framing, http_server.py for the side that takes orders and caller.py for the side that sends them.
"""

from ryelock.http.client import (
    ClientError,
    Response,
    ResponseTimeoutError,
    fetch,
    read_response,
    send_request,
)
from ryelock.http.heads import (
    Fields,
    FramingError,
    RequestHead,
    ResponseHead,
    end_to_end,
    field,
    http_date,
    parse_http_date,
    parse_request_head,
    parse_response_head,
    reason_of,
    tokens,
)
from ryelock.http.protocol_profile import ProtocolProfile
from ryelock.http.reader import Reader
from ryelock.http.server import HttpExchange, HttpServer, Limits

__all__ = [
    "ClientError",
    "Fields",
    "FramingError",
    "HttpExchange",
    "HttpServer",
    "Limits",
    "ProtocolProfile",
    "Reader",
    "RequestHead",
    "Response",
    "ResponseHead",
    "ResponseTimeoutError",
    "end_to_end",
    "fetch",
    "field",
    "http_date",
    "parse_http_date",
    "parse_request_head",
    "parse_response_head",
    "read_response",
    "reason_of",
    "send_request",
    "tokens",
]
