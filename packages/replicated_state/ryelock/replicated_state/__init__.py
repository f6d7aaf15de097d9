"""The state that the consensus group agrees on, the same on every node that applied the same log.

`state` is the state machine: commands of the log change it, on control nodes and on every edge. A
command and its kind are in `commands`, what it came to in `outcomes`. `configuration` is what
operators set: `parsing` reads it, `validation` checks it, `change` merges a change into it and
`plan` shows what that would do. `derived` has the watches that no operator wrote, `purge`, `drain`
and `claims` the other parts of the state, `vector` the versions that a node has of each source.
"""

from ryelock.replicated_state.change import merge_change
from ryelock.replicated_state.commands import CommandKind, encode_command
from ryelock.replicated_state.configuration import (
    CallerLimits,
    Configuration,
    Route,
    Service,
    Watch,
)
from ryelock.replicated_state.derived import (
    MAX_DERIVED_WATCHES,
    derivable_routes,
    derived_name,
    derived_targets,
    derived_watches,
)
from ryelock.replicated_state.drain import ZONE_PREFIX, Drain
from ryelock.replicated_state.errors import (
    Fault,
    InvalidConfigurationError,
    MalformedCommandError,
    MalformedSnapshotError,
    MalformedVectorError,
    ReplicatedStateError,
)
from ryelock.replicated_state.outcomes import CommandStatus, Outcome
from ryelock.replicated_state.parsing import parse_configuration
from ryelock.replicated_state.plan import plan_change
from ryelock.replicated_state.purge import Purge, PurgeKind
from ryelock.replicated_state.state import ReplicatedState
from ryelock.replicated_state.vector import Vector, vector_from_wire

__all__ = [
    "MAX_DERIVED_WATCHES",
    "ZONE_PREFIX",
    "CallerLimits",
    "CommandKind",
    "CommandStatus",
    "Configuration",
    "Drain",
    "Fault",
    "InvalidConfigurationError",
    "MalformedCommandError",
    "MalformedSnapshotError",
    "MalformedVectorError",
    "Outcome",
    "Purge",
    "PurgeKind",
    "ReplicatedState",
    "ReplicatedStateError",
    "Route",
    "Service",
    "Vector",
    "Watch",
    "derivable_routes",
    "derived_name",
    "derived_targets",
    "derived_watches",
    "encode_command",
    "merge_change",
    "parse_configuration",
    "plan_change",
    "vector_from_wire",
]
