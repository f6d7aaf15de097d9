"""The frame format of segments; each write appends one frame, which is valid completely or not.

A frame is a 10-byte header (two magic bytes, body size and CRC-32 of the body, big-endian) and the
body. Two versions are read:

- Version 1 (`SINGLE_MAGIC`): the body is one record.
- Version 2 (`BATCH_MAGIC`): the body is all records of one write, each preceded by its 4-byte
  length. Only this version is written, because no later part of a torn write of several records can
  then be a valid frame.
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
    """The records of one or more consecutive valid frames.

    Attributes:
        records: The records, in order.
        end: The offset after the last frame, in bytes.
    """

    records: list[bytes]
    end: int


def pack_batch(records: list[bytes]) -> bytes:
    """Encode the records of a write as one version 2 frame."""
    body = b"".join(LENGTH.pack(len(record)) + record for record in records)
    return HEADER.pack(BATCH_MAGIC, len(body), zlib.crc32(body)) + body


def split_batch(body: bytes) -> list[bytes] | None:
    """Decode a version 2 body; return None if the record lengths do not match its size."""
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
    """Decode the frame at an offset; return None if there is no valid frame."""
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
    """Decode consecutive frames from the start up to the first invalid one."""
    records: list[bytes] = []
    end = 0
    while (frame := frame_at(data, end)) is not None:
        records += frame.records
        end = frame.end
    return DecodedRecords(records, end)


def has_frame_after(data: bytes, offset: int) -> bool:
    """Return True if a valid frame starts after an offset, which rules out a torn tail."""
    start = data.find(MAGIC_START, offset + 1)
    while start >= 0:
        if frame_at(data, start) is not None:
            return True
        start = data.find(MAGIC_START, start + 1)
    return False
