"""Command line of `ryelock`, parsed by defopt: three daemons and the operator commands."""

import sys
import warnings

from ryelock.cli.signals import ignore_hangup

DAEMONS = ("core", "edge", "prober")
"""Subcommands that run until a signal stops them."""
if sys.argv[1:2] and sys.argv[1] in DAEMONS:
    ignore_hangup()

import defopt  # noqa: E402

# circuits imports pkg_resources, whose deprecation warning is of no use to an operator.
warnings.filterwarnings("ignore", message="pkg_resources is deprecated")

from ryelock.cli.daemon_commands import core, edge, prober  # noqa: E402
from ryelock.cli.operator_commands import (  # noqa: E402
    apply,
    drain,
    explain,
    purge,
    read,
    recover,
    verdicts,
)


def main() -> None:
    """Run the subcommand named on the command line and exit with its code."""
    code = defopt.run(
        [core, edge, prober, apply, read, purge, drain, recover, verdicts, explain], short={}
    )
    sys.exit(code)
