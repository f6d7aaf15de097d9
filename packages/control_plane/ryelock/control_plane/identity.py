"""Which disk this is. A folder that lost its journal, or whose journal is damaged, is another
disk from then on: it has no vote until it was taken in anew. The identity
is written last and taken away first, so that it never stands without the whole journal."""

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

IDENTITY = "identity"
ASIDE = "damaged-"
JOURNAL_FILES = ("segment-", "image-")


def open_disk(
    folder: Folder, log: Log, segment_bytes: int, random: Random
) -> Result[tuple[str, Journal], JournalError]:
    """The disk's name and its journal; a damaged journal is set aside for a fresh one."""
    try:
        # A process that was killed may have given names that are not on the disk yet.
        folder.sync_names()
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
        set_aside(folder)
        disk = f"{random.getrandbits(64):016x}"
        found = open_journal(folder, log, segment_bytes)
        if found.is_error():
            return Error(found.error)
        folder.write_whole(IDENTITY, json.dumps({"disk": disk}).encode())
        return Ok((disk, found.ok))
    except FolderError as error:
        return Error(JournalUnavailableError(str(error)))


def read_identity(folder: Folder) -> str:
    if IDENTITY not in folder.names():
        return ""
    try:
        plain = json.loads(folder.read(IDENTITY))
        return str(plain["disk"])
    except (ValueError, KeyError, TypeError):
        return ""


def has_journal(folder: Folder) -> bool:
    return any(name.startswith(JOURNAL_FILES) for name in folder.names())


def set_aside(folder: Folder) -> None:
    """Keep what is damaged for a look, one generation of it.

    The identity goes first and lastingly: a part of a journal must never stand under a name that
    still has a vote.
    """
    if IDENTITY in folder.names():
        folder.write_whole(IDENTITY, b"")
    for name in folder.names():
        if name.startswith(ASIDE):
            folder.delete(name)
    for name in folder.names():
        if name.startswith(JOURNAL_FILES):
            folder.rename(name, ASIDE + name)
