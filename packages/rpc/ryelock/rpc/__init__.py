"""Remote procedure calls between Ryelock's processes: CBOR frames over multiplexed connections.

`frames` holds the encoding, `client` and `server` the two sides, `codec` the typed messages, and
`errors` the errors. A response carries the number of its call, so that responses may arrive in any
order. If the peer violates the protocol, an event is logged and the connection closed.
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
