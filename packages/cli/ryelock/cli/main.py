"""Command line of `ryelock`, by defopt: three daemons and the operator's commands."""

import sys
import warnings

import defopt

# circuits imports pkg_resources, which warns; an operator should not see that.
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
    """Run the subcommand that the command line names; exits with its code."""
    code = defopt.run(
        [core, edge, prober, apply, read, purge, drain, recover, verdicts, explain], short={}
    )
    sys.exit(code)
