"""The frames of a segment: what one write appends, recognised as complete or not at all.

A frame is ten bytes of header - two magic bytes, size of the body, CRC-32 of the body, big-endian -
and the body. Two versions are read:

- version 1 (`SINGLE_MAGIC`): the body is one record;
- version 2 (`BATCH_MAGIC`): the body is all records of one write, each behind four bytes of its
  length. Only this version is written: a write of several records that was torn in the middle has
  no later part that looks sound by itself.
"""

import struct
import zlib
from dataclasses import dataclass

SINGLE_MAGIC = b"\xa5\x52"
BATCH_MAGIC = b"\xa5\x53"
MAGIC_START = b"\xa5"
HEADER = struct.Struct(">2sII")
LENGTH = struct.Struct(">I")
MAX_BODY_BYTES = 134_217_728


@dataclass(frozen=True, slots=True)
class DecodedRecords:
    """The records of one sound frame, or of several in a row.

    Attributes:
        records: the records, in order.
        end: offset of the first byte after the last frame.
    """

    records: list[bytes]
    end: int


def pack_batch(records: list[bytes]) -> bytes:
    """Return one frame of version 2 with all records of one write."""
    body = b"".join(LENGTH.pack(len(record)) + record for record in records)
    return HEADER.pack(BATCH_MAGIC, len(body), zlib.crc32(body)) + body


def split_batch(body: bytes) -> list[bytes] | None:
    """Return the records of a body of version 2; None where the lengths do not fill it."""
    records: list[bytes] = []
    offset = 0
    while offset < len(body):
        if offset + LENGTH.size > len(body):
            return None
        (size,) = LENGTH.unpack_from(body, offset)
        offset += LENGTH.size
        if offset + size > len(body):
            return None
        records.append(body[offset : offset + size])
        offset += size
    return records


def frame_at(data: bytes, offset: int) -> DecodedRecords | None:
    """Return the records of the sound frame that starts at an offset; None where none does."""
    start = offset + HEADER.size
    if start > len(data):
        return None
    magic, size, checksum = HEADER.unpack_from(data, offset)
    end = start + size
    if magic not in (SINGLE_MAGIC, BATCH_MAGIC) or size > MAX_BODY_BYTES or end > len(data):
        return None
    body = data[start:end]
    if zlib.crc32(body) != checksum:
        return None
    records = [body] if magic == SINGLE_MAGIC else split_batch(body)
    return None if records is None else DecodedRecords(records, end)


def read_frames(data: bytes) -> DecodedRecords:
    """Return the records of all sound frames from the start on, up to the first that is not."""
    records: list[bytes] = []
    end = 0
    while (frame := frame_at(data, end)) is not None:
        records += frame.records
        end = frame.end
    return DecodedRecords(records, end)


def has_frame_after(data: bytes, offset: int) -> bool:
    """Tell whether any sound frame starts after an offset: what is before it is no torn tail."""
    found = data.find(MAGIC_START, offset + 1)
    while found >= 0:
        if frame_at(data, found) is not None:
            return True
        found = data.find(MAGIC_START, found + 1)
    return False
