"""The operator's word and the record of decisions, the same on every node that follows it.

configuration.py is what a change may say, checked by dacite; derived.py is how watches are made
up; state.py is the machine that
the consensus group's words drive, and that an edge drives with the words it pulled; vector.py holds
one version per source.
"""

from ryelock.replicated_state.configuration import (
    CallerLimits,
    Configuration,
    Route,
    Service,
    Watch,
    merge_change,
    parse_configuration,
    plan_change,
)
from ryelock.replicated_state.derived import (
    MAX_DERIVED_WATCHES,
    derivable_routes,
    derived_name,
    derived_targets,
    derived_watches,
)
from ryelock.replicated_state.state import Purge, ReplicatedState, encode_command
from ryelock.replicated_state.vector import Vector, vector_from_wire

__all__ = [
    "MAX_DERIVED_WATCHES",
    "CallerLimits",
    "Configuration",
    "Purge",
    "ReplicatedState",
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
