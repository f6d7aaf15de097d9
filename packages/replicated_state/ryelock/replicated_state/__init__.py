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
    configuration_of,
    merge_change,
    plan_of,
)
from ryelock.replicated_state.derived import (
    DERIVED_MOST,
    derivable_routes,
    derived_name,
    derived_watches,
    places_of,
)
from ryelock.replicated_state.state import Purge, ReplicatedState, encode_command
from ryelock.replicated_state.vector import Vector, vector_of

__all__ = [
    "DERIVED_MOST",
    "CallerLimits",
    "Configuration",
    "Purge",
    "ReplicatedState",
    "Route",
    "Service",
    "Vector",
    "Watch",
    "configuration_of",
    "derivable_routes",
    "derived_name",
    "derived_watches",
    "encode_command",
    "merge_change",
    "places_of",
    "plan_of",
    "vector_of",
]
