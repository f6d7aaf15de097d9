"""A stand-in of a platform that lets out servers: its list, its servers, and who calls there."""

from ryelock.testing.hosting_platform.platform import (
    Arrival,
    HostingPlatform,
    Manner,
    ServerLife,
    ServiceStandIn,
    Words,
)

__all__ = ["Arrival", "HostingPlatform", "Manner", "ServerLife", "ServiceStandIn", "Words"]
