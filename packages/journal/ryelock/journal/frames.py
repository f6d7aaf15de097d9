"""The frames of a segment: what one write appends, recognised as whole or not at all.

A frame is ten bytes of header - mark, size of the body, CRC-32 of the body, big-endian - and the
body. Two versions are read:

- version 1 (`SINGLE_MARK`): the body is one record;
- version 2 (`BATCH_MARK`): the body is all records of one write, each behind four bytes of its
  length. Only this version is written: a write of several records that was torn in the middle has
  no later part that looks sound by itself.
"""

import struct
import zlib

SINGLE_MARK = b"\xa5\x52"
BATCH_MARK = b"\xa5\x53"
MARK_START = b"\xa5"
HEADER = struct.Struct(">2sII")
LENGTH = struct.Struct(">I")
FRAME_MOST = 134_217_728


def pack_batch(records: list[bytes]) -> bytes:
    """One frame of version 2 with all records of one write."""
    body = b"".join(LENGTH.pack(len(record)) + record for record in records)
    return HEADER.pack(BATCH_MARK, len(body), zlib.crc32(body)) + body


def split_batch(body: bytes) -> list[bytes] | None:
    """The records of a body of version 2, or None where the lengths do not fill it."""
    records: list[bytes] = []
    place = 0
    while place < len(body):
        if place + LENGTH.size > len(body):
            return None
        (size,) = LENGTH.unpack_from(body, place)
        place += LENGTH.size
        if place + size > len(body):
            return None
        records.append(body[place : place + size])
        place += size
    return records


def frame_at(data: bytes, place: int) -> tuple[list[bytes], int] | None:
    """The records of the sound frame that starts at a place and where it ends, or None."""
    if place + HEADER.size > len(data):
        return None
    mark, size, checksum = HEADER.unpack_from(data, place)
    start = place + HEADER.size
    if mark not in (SINGLE_MARK, BATCH_MARK) or size > FRAME_MOST or start + size > len(data):
        return None
    body = data[start : start + size]
    if zlib.crc32(body) != checksum:
        return None
    records = [body] if mark == SINGLE_MARK else split_batch(body)
    return None if records is None else (records, start + size)


def read_frames(data: bytes) -> tuple[list[bytes], int]:
    """The records of all sound frames from the start, and where those frames end."""
    records: list[bytes] = []
    place = 0
    while (found := frame_at(data, place)) is not None:
        batch, place = found
        records += batch
    return records, place


def sound_behind(data: bytes, place: int) -> bool:
    """Whether any sound frame starts behind a place."""
    found = data.find(MARK_START, place + 1)
    while found >= 0:
        if frame_at(data, found) is not None:
            return True
        found = data.find(MARK_START, found + 1)
    return False
