"""Entry point of `python -m ryelock.cli`, equivalent to `ryelock`."""

from ryelock.cli.main import main

main()
