"""How a platform spells what its list and its servers say.

The users' page of a platform is spelled out beside the tests that hold an edge to it; nothing here
knows a platform's own words.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ryelock.http import ProtocolProfile

if TYPE_CHECKING:
    from ryelock.testing.hosting_platform.servers import ServerInstance

JsonObject = dict[str, object]
EncodeInstance = Callable[["ServerInstance", bool, float], JsonObject]
EncodePage = Callable[[dict[str, JsonObject], str | None], JsonObject]


class PlatformFormat:
    """How a platform spells things: in header fields, and in its list.

    Attributes:
        profile: names of the header fields.
        instance_field: the field by which a server names its incarnation.
        list_path: path of the list.
        page_parameter: name of a page's token in the list's query.
        encode_instance: writes the list entry of a server, from whether it is leaving and the
            milliseconds for which it is still warming up.
        encode_page: writes a page of such entries, with the token of the next page if any.
    """

    __slots__ = (
        "encode_instance",
        "encode_page",
        "instance_field",
        "list_path",
        "page_parameter",
        "profile",
    )

    def __init__(
        self,
        profile: ProtocolProfile,
        instance_field: bytes,
        list_path: str,
        page_parameter: str,
        encode_instance: EncodeInstance,
        encode_page: EncodePage,
    ) -> None:
        """Set how the platform spells things."""
        self.profile = profile
        self.instance_field = instance_field
        self.list_path = list_path
        self.page_parameter = page_parameter
        self.encode_instance = encode_instance
        self.encode_page = encode_page
