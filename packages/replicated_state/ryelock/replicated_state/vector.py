"""A vector of versions: for each source, how much of its word a node has."""

Vector = dict[str, int]


def vector_from_wire(plain: object) -> Vector:
    """A vector as it came over the wire; raises ValueError when it is none."""
    if not isinstance(plain, dict):
        raise ValueError("not a vector")
    vector: Vector = {}
    for source, version in plain.items():
        if not isinstance(source, str) or not isinstance(version, int) or version < 0:
            raise ValueError("not a vector")
        vector[source] = version
    return vector
