"""Settings from a file and from flags, validated before any port is opened.

- `declaration`: all settings.
- `checks`: validators of their values.
- `reading`: merges file and flags and reports all faults at once, one line each.
- `page`: generates docs/settings.md.
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
