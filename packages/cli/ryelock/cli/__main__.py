"""`python -m ryelock.cli`, the same as `ryelock`."""

from ryelock.cli.main import main

main()
