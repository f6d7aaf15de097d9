"""A stand-in of a platform that lets out servers: its list, its servers, and who calls there."""

from ryelock.testing.hosting_platform.format import PlatformFormat
from ryelock.testing.hosting_platform.platform import HostingPlatform
from ryelock.testing.hosting_platform.servers import Arrival, Manner, ServerInstance
from ryelock.testing.hosting_platform.services import ServiceStandIn

__all__ = [
    "Arrival",
    "HostingPlatform",
    "Manner",
    "PlatformFormat",
    "ServerInstance",
    "ServiceStandIn",
]
