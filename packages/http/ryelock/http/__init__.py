"""An HTTP/1.1 client and server that preserve bytes and bound their memory (RFC 9110, RFC 9112).

`fields`, `heads` and `framing` parse and check without I/O; `reader` and `body` read from a
connection. `client` sends requests. `server` listens, `connection` serves one connection, and
`exchange` is one request with its response.
"""

from ryelock.http.body import Body
from ryelock.http.client import Response, fetch, read_response, send_request
from ryelock.http.errors import (
    ClientError,
    FramingError,
    HttpError,
    IncompleteMessageError,
    ReadTimeoutError,
    ResponseTimeoutError,
)
from ryelock.http.exchange import HttpExchange
from ryelock.http.fields import Fields, end_to_end, field, http_date, parse_http_date, tokens
from ryelock.http.framing import content_length, is_chunked
from ryelock.http.heads import (
    RequestHead,
    ResponseHead,
    parse_request_head,
    parse_response_head,
    reason_phrase,
)
from ryelock.http.limits import Limits
from ryelock.http.protocol_profile import ProtocolProfile
from ryelock.http.reader import Reader
from ryelock.http.server import HttpServer

__all__ = [
    "Body",
    "ClientError",
    "Fields",
    "FramingError",
    "HttpError",
    "HttpExchange",
    "HttpServer",
    "IncompleteMessageError",
    "Limits",
    "ProtocolProfile",
    "ReadTimeoutError",
    "Reader",
    "RequestHead",
    "Response",
    "ResponseHead",
    "ResponseTimeoutError",
    "content_length",
    "end_to_end",
    "fetch",
    "field",
    "http_date",
    "is_chunked",
    "parse_http_date",
    "parse_request_head",
    "parse_response_head",
    "read_response",
    "reason_phrase",
    "send_request",
    "tokens",
]
