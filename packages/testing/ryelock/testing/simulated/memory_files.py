"""What the simulated disks share: files that are kept in memory, by name."""

from collections.abc import Mapping

from ryelock.journal import FolderError


def read_file(files: Mapping[str, bytes | bytearray], name: str) -> bytes:
    """Return a file's bytes; raises FolderError where there is no such file."""
    if name not in files:
        raise FolderError(f"{name}: no such file")
    return bytes(files[name])
