"""In-memory files, shared by the simulated disks."""

from collections.abc import Mapping

from ryelock.journal import FolderError


def read_file(files: Mapping[str, bytes | bytearray], name: str) -> bytes:
    """Return the contents of a file; raise FolderError if it does not exist."""
    if name not in files:
        raise FolderError(f"{name}: no such file")
    return bytes(files[name])
