"""Version vectors: the version of each source of state that a node has received."""

from ryelock.replicated_state.errors import MalformedVectorError

Vector = dict[str, int]
"""The newest version received from each source, by the name of the source."""


def vector_from_wire(data: object) -> Vector:
    """Parse a version vector from the wire.

    Raises:
        MalformedVectorError: the data is not a map of names to non-negative integers.
    """
    if not isinstance(data, dict):
        raise MalformedVectorError("not a map")
    vector: Vector = {}
    for source, version in data.items():
        if not isinstance(source, str) or not isinstance(version, int) or version < 0:
            raise MalformedVectorError(f"expected a non-negative version for {source!r}")
        vector[source] = version
    return vector
