"""Command line of `ryelock`, parsed by defopt: three daemons and the operator commands."""

import sys
import warnings

import defopt

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
