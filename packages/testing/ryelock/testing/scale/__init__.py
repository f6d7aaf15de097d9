"""Scale runs: real cores and a real edge beside hollow nodes, and what each costs by size.

For every size three `ryelock core` processes and one `ryelock edge` are started anew, with a
stand-in of the platform, and hollow nodes (ryelock.testing.hollow) join them, many to a process.
The runner reads the kernel's accounts (ryelock.testing.processes.accounts) over windows: at rest,
under changes, purges, changed listings and restarts; then it kills the leader, and last all cores,
and counts what the nodes send until each has its session again. The slopes go to a table, to JSON
and to plots.

- sizes.py: what one bring-up has and what is measured of it
- hollow_process.py: one process of hollow nodes, as the runner starts and stops it
- readings.py: the kernel's accounts and the nodes' counts at one moment, and their differences
- run.py: one bring-up: its processes, and what the runner asks of them
- startup.py, steady.py, losses.py: the phases of a run
- judging.py: the aggregator's work on a full history, in this process
- report.py: medians, growth, table and plots
- sweep.py: all runs of all sizes
"""

from ryelock.testing.scale.judging import measure_judging
from ryelock.testing.scale.report import Point, growth, plot, table
from ryelock.testing.scale.sizes import Figures, Size, zone_name
from ryelock.testing.scale.sweep import run_scale, run_size

__all__ = [
    "Figures",
    "Point",
    "Size",
    "growth",
    "measure_judging",
    "plot",
    "run_scale",
    "run_size",
    "table",
    "zone_name",
]
