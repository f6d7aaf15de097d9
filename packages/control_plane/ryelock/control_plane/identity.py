"""The identity of a disk, by which it counts in the consensus group.

A folder that lost its journal, or whose journal is damaged, is another disk from then on: it may
have acknowledged entries or cast votes that it no longer knows of, so it has no vote until it has
joined anew. The identity is written last and removed first, so that it never stands without the
complete journal.
"""

import json
from random import Random

from expression import Error, Ok, Result

from ryelock.events import JOURNAL_DAMAGED, Log
from ryelock.journal import (
    Folder,
    FolderError,
    Journal,
    JournalError,
    JournalUnavailableError,
    open_journal,
)

IDENTITY_FILE = "identity"
DAMAGED_PREFIX = "damaged-"
JOURNAL_FILES = ("segment-", "image-")


def open_disk(
    folder: Folder, log: Log, segment_bytes: int, random: Random
) -> Result[tuple[str, Journal], JournalError]:
    """Open a disk; a damaged journal is set aside for a fresh one.

    Args:
        folder: the node's data folder.
        log: where damage is reported.
        segment_bytes: size at which the journal begins a new segment.
        random: source of a fresh identity.

    Returns:
        The disk's identity and its journal, or the error of a folder that cannot be used now.
    """
    try:
        # A killed process may have renamed files whose directory entries are not synced yet.
        folder.sync_directory()
        disk = read_identity(folder)
        if disk and not has_journal(folder):
            log.write(JOURNAL_DAMAGED, fault="the journal is gone", disk=disk)
        elif disk:
            found = open_journal(folder, log, segment_bytes)
            if found.is_ok():
                return Ok((disk, found.ok))
            if not found.error.damaged:
                return Error(found.error)
            log.write(JOURNAL_DAMAGED, fault=found.error.reason, disk=disk)
        set_damaged_aside(folder)
        disk = f"{random.getrandbits(64):016x}"
        found = open_journal(folder, log, segment_bytes)
        if found.is_error():
            return Error(found.error)
        folder.write_atomically(IDENTITY_FILE, json.dumps({"disk": disk}).encode())
        return Ok((disk, found.ok))
    except FolderError as error:
        return Error(JournalUnavailableError(str(error)))


def read_identity(folder: Folder) -> str:
    """Return the identity in a folder; empty where there is none."""
    if IDENTITY_FILE not in folder.names():
        return ""
    try:
        record = json.loads(folder.read(IDENTITY_FILE))
        return str(record["disk"])
    except (ValueError, KeyError, TypeError):
        return ""


def has_journal(folder: Folder) -> bool:
    """Tell whether a folder has any file of a journal."""
    return any(name.startswith(JOURNAL_FILES) for name in folder.names())


def set_damaged_aside(folder: Folder) -> None:
    """Keep the files of a damaged journal for inspection, of one generation.

    The identity goes first, and synced: part of a journal must never stand under an identity that
    still has a vote.
    """
    if IDENTITY_FILE in folder.names():
        folder.write_atomically(IDENTITY_FILE, b"")
    for name in folder.names():
        if name.startswith(DAMAGED_PREFIX):
            folder.delete(name)
    for name in folder.names():
        if name.startswith(JOURNAL_FILES):
            folder.rename(name, DAMAGED_PREFIX + name)
