"""`python -m ryelock.settings` prints docs/settings.md."""

import sys

from ryelock.settings.page import settings_page

sys.stdout.write(settings_page())
