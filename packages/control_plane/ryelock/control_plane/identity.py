"""Identity of a disk, which is its key in the consensus group.

A data folder whose journal is missing or damaged gets a new identity: the disk may have
acknowledged entries or cast votes that are lost with the journal, so it must not vote before it has
joined the group again. The identity is written last and removed first, so that it never exists
without the complete journal.
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
    """Open a disk; a damaged journal is archived and replaced by an empty one.

    Args:
        folder: the node's data folder.
        log: the event log.
        segment_bytes: size at which the journal begins a new segment.
        random: source of a new identity.

    Returns:
        The disk's identity and its journal, or the error of an unusable folder.
    """
    try:
        # A killed process may have renamed files without syncing the directory entries.
        folder.sync_directory()
        disk = read_identity(folder)
        if disk and not has_journal(folder):
            log.write(JOURNAL_DAMAGED, fault="no journal file in the data folder", disk=disk)
        elif disk:
            opened = open_journal(folder, log, segment_bytes)
            if opened.is_ok():
                return Ok((disk, opened.ok))
            if not opened.error.damaged:
                return Error(opened.error)
            log.write(JOURNAL_DAMAGED, fault=opened.error.reason, disk=disk)
        archive_damaged_journal(folder)
        disk = f"{random.getrandbits(64):016x}"
        opened = open_journal(folder, log, segment_bytes)
        if opened.is_error():
            return Error(opened.error)
        folder.write_atomically(IDENTITY_FILE, json.dumps({"disk": disk}).encode())
        return Ok((disk, opened.ok))
    except FolderError as error:
        return Error(JournalUnavailableError(str(error)))


def read_identity(folder: Folder) -> str:
    """Return the identity in a folder; empty if there is none."""
    if IDENTITY_FILE not in folder.names():
        return ""
    try:
        record = json.loads(folder.read(IDENTITY_FILE))
        return str(record["disk"])
    except (ValueError, KeyError, TypeError):
        return ""


def has_journal(folder: Folder) -> bool:
    """Return True if a folder has a journal file."""
    return any(name.startswith(JOURNAL_FILES) for name in folder.names())


def archive_damaged_journal(folder: Folder) -> None:
    """Keep the files of the last damaged journal for inspection.

    The identity is removed first, with a sync: an incomplete journal must never exist under an
    identity that may vote.
    """
    if IDENTITY_FILE in folder.names():
        folder.write_atomically(IDENTITY_FILE, b"")
    for name in folder.names():
        if name.startswith(DAMAGED_PREFIX):
            folder.delete(name)
    for name in folder.names():
        if name.startswith(JOURNAL_FILES):
            folder.rename(name, DAMAGED_PREFIX + name)
