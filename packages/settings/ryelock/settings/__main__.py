"""Entry point of `python -m ryelock.settings`, which prints docs/settings.md."""

import sys

from ryelock.settings.page import settings_page

sys.stdout.write(settings_page())
