"""Settings from a file and from flags, all checked before any port opens.

`declaration` has every setting, `checks` what values are valid, `reading` puts file and flags
together and reports every fault at once, one line each.
"""

from ryelock.settings.checks import parse_address
from ryelock.settings.declaration import Setting, Settings, declared_settings
from ryelock.settings.errors import InvalidValueError, SettingsError, SettingsFileError
from ryelock.settings.page import settings_page
from ryelock.settings.reading import REQUIRED, NodeRole, read_settings

__all__ = [
    "REQUIRED",
    "InvalidValueError",
    "NodeRole",
    "Setting",
    "Settings",
    "SettingsError",
    "SettingsFileError",
    "declared_settings",
    "parse_address",
    "read_settings",
    "settings_page",
]
