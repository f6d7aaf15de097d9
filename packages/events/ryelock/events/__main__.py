"""Entry point of `python -m ryelock.events`, which prints docs/events.md."""

import sys

from ryelock.events import catalogue_page

sys.stdout.write(catalogue_page())
