"""HTTP/1.1 on both sides, byte-exact and bounded.

See heads.py for what circuits.web's parser is kept for and what it is not, reading.py for
framing, http_server.py for the side that takes orders and caller.py for the side that sends them.
"""

from ryelock.http.client import Answer, CallError, call, read_answer, send_order
from ryelock.http.heads import (
    AnswerHead,
    Fields,
    FramingError,
    OrderHead,
    end_to_end,
    field,
    http_date,
    parse_answer_head,
    parse_http_date,
    parse_order_head,
    reason_of,
    tokens,
)
from ryelock.http.protocol_profile import Dialect
from ryelock.http.reader import Reader
from ryelock.http.server import Exchange, HttpServer, Limits

__all__ = [
    "Answer",
    "AnswerHead",
    "CallError",
    "Dialect",
    "Exchange",
    "Fields",
    "FramingError",
    "HttpServer",
    "Limits",
    "OrderHead",
    "Reader",
    "call",
    "end_to_end",
    "field",
    "http_date",
    "parse_answer_head",
    "parse_http_date",
    "parse_order_head",
    "read_answer",
    "reason_of",
    "send_order",
    "tokens",
]
