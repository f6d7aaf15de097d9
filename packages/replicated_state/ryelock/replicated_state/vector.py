"""A version vector: for each source of state, how much of it a node has."""

from ryelock.replicated_state.errors import MalformedVectorError

Vector = dict[str, int]
"""The newest version known of each source, by its name."""


def vector_from_wire(data: object) -> Vector:
    """Return a version vector from the wire.

    Raises:
        MalformedVectorError: it is no map of names to versions from 0 on.
    """
    if not isinstance(data, dict):
        raise MalformedVectorError("not a map")
    vector: Vector = {}
    for source, version in data.items():
        if not isinstance(source, str) or not isinstance(version, int) or version < 0:
            raise MalformedVectorError(f"version of {source!r}")
        vector[source] = version
    return vector
