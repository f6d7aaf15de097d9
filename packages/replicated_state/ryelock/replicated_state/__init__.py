"""The replicated state machine of the consensus group, the same on every node at one log index.

`state` is the state machine: control nodes and edges apply the commands of the log to it.
`commands` defines the commands and `outcomes` their results. `configuration` is what operators set:
`parsing` and `validation` read and check it, `change` merges a change into it and `plan` previews a
change. `derived` has the health checks that are derived from served objects; `purge`, `drain` and
`claims` are the other parts of the state. `vector` has the versions of each source of state that a
node has received.
"""

from ryelock.replicated_state.change import merge_change
from ryelock.replicated_state.commands import CommandKind, decode_command, encode_command
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
    "decode_command",
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
