"""Which disk this is. A folder that lost its journal, or whose journal is damaged, is another
disk from then on: it has no vote until it was taken in anew."""

import json
from random import Random

from expression import Error, Ok, Result

from ryelock.events import JOURNAL_DAMAGED, Log
from ryelock.journal import Folder, FolderError, Journal, JournalError, open_journal

IDENTITY = "identity"
ASIDE = "damaged-"


def open_disk(
    folder: Folder, log: Log, segment_bytes: int, random: Random
) -> Result[tuple[str, Journal], JournalError]:
    """The disk's name and its journal; a damaged journal is set aside for a fresh one."""
    try:
        disk = read_identity(folder)
        if disk:
            found = open_journal(folder, log, segment_bytes)
            if found.is_ok():
                return Ok((disk, found.ok))
            if not found.error.damaged:
                return Error(found.error)
            log.write(JOURNAL_DAMAGED, fault=found.error.reason, disk=disk)
        set_aside(folder)
        disk = f"{random.getrandbits(64):016x}"
        folder.write_whole(IDENTITY, json.dumps({"disk": disk}).encode())
        found = open_journal(folder, log, segment_bytes)
        if found.is_error():
            return Error(found.error)
        return Ok((disk, found.ok))
    except FolderError as error:
        return Error(JournalError(str(error), False))


def read_identity(folder: Folder) -> str:
    if IDENTITY not in folder.names():
        return ""
    try:
        plain = json.loads(folder.read(IDENTITY))
        return str(plain["disk"])
    except (ValueError, KeyError, TypeError):
        return ""


def set_aside(folder: Folder) -> None:
    """Keep what is damaged for a look, one generation of it."""
    for name in folder.names():
        if name.startswith(ASIDE):
            folder.delete(name)
    for name in folder.names():
        if name.startswith(("segment-", "image-")):
            folder.rename(name, ASIDE + name)
        elif name == IDENTITY:
            folder.delete(name)
