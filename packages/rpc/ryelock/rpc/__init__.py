"""Remote calls between the system's own processes: CBOR frames, many calls a connection.

`frames` holds the encoding, `client` and `server` the two sides, `codec` the typed messages,
`errors` what can go wrong. Each call has a number that its response repeats, so that responses may
come in any order. A connection whose peer breaks the protocol is closed, with an event.
"""

from ryelock.rpc.client import RpcClient, RpcClients
from ryelock.rpc.errors import FrameError, MalformedMessageError, NoResponseError, RpcError
from ryelock.rpc.frames import HANDSHAKE, FrameDecoder, Message, encode_frame
from ryelock.rpc.server import MessageHandler, Reply, RpcServer

__all__ = [
    "HANDSHAKE",
    "FrameDecoder",
    "FrameError",
    "MalformedMessageError",
    "Message",
    "MessageHandler",
    "NoResponseError",
    "Reply",
    "RpcClient",
    "RpcClients",
    "RpcError",
    "RpcServer",
    "encode_frame",
]
