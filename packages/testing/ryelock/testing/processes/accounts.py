"""What the kernel keeps account of for a process: processor, memory, disk, sockets.

/proc tells processor seconds, resident bytes, bytes written to files and open descriptors;
the kernel's socket diagnosis (netlink, as `ss` uses it) tells the bytes and segments of each TCP
socket, which are matched to a process by inode. Sockets that closed between two readings are
not in the difference; those that opened are in it whole.
"""

import os
import socket
import struct
from pathlib import Path

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
NETLINK_DIAGNOSIS = 4
DUMP_SOCKETS = 20
REQUEST_AND_DUMP = 0x301
INFORMATION = 2
Traffic = tuple[int, int, int, int]


class Account:
    """One reading of one process: seconds, bytes, and traffic by socket."""

    __slots__ = ("cpu", "descriptors", "disk", "memory", "sockets")

    def __init__(self, number: int, traffic: dict[int, Traffic]) -> None:
        """Read the accounts of a running process; `traffic` is what `read_traffic` gave."""
        folder = Path(f"/proc/{number}")
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        self.cpu = (int(fields[11]) + int(fields[12])) / TICKS
        self.memory = int((folder / "statm").read_text().split()[1]) * PAGE
        lines = dict(line.split(": ") for line in (folder / "io").read_text().splitlines())
        self.disk = int(lines["write_bytes"])
        self.descriptors = 0
        self.sockets: dict[int, Traffic] = {}
        for entry in os.listdir(folder / "fd"):
            self.descriptors += 1
            try:
                target = os.readlink(folder / "fd" / entry)
            except OSError:
                continue
            if target.startswith("socket:["):
                inode = int(target[8:-1])
                if inode in traffic:
                    self.sockets[inode] = traffic[inode]


class Spent:
    """The difference of two accounts of one process; all of the later one where it is fresh."""

    __slots__ = (
        "bytes_in",
        "bytes_out",
        "cpu",
        "descriptors",
        "disk",
        "memory",
        "segments_in",
        "segments_out",
    )

    def __init__(self, before: Account | None, after: Account) -> None:
        """Take the difference; without an earlier account the process was started since."""
        self.cpu = after.cpu - (before.cpu if before is not None else 0.0)
        self.disk = after.disk - (before.disk if before is not None else 0)
        self.memory = after.memory
        self.descriptors = after.descriptors
        total = [0, 0, 0, 0]
        for inode, counts in after.sockets.items():
            start = (0, 0, 0, 0) if before is None else before.sockets.get(inode, (0, 0, 0, 0))
            for place in range(4):
                total[place] += counts[place] - start[place]
        self.bytes_in, self.bytes_out, self.segments_in, self.segments_out = total


def read_traffic() -> dict[int, Traffic]:
    """By inode of every TCP socket: bytes in, bytes out, segments with data in and out."""
    found: dict[int, Traffic] = {}
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_DIAGNOSIS) as connection:
        asked = struct.pack(
            "=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 1 << (INFORMATION - 1), 0xFFFFFFFF
        ) + bytes(48)
        connection.send(
            struct.pack("=IHHII", 16 + len(asked), DUMP_SOCKETS, REQUEST_AND_DUMP, 1, 0) + asked
        )
        while True:
            data = memoryview(connection.recv(1 << 20))
            while len(data) >= 16:
                size, kind = struct.unpack_from("=IH", data)
                if kind != DUMP_SOCKETS:
                    return found
                read_socket(data[16:size], found)
                data = data[(size + 3) & ~3 :]


def read_socket(data: memoryview, found: dict[int, Traffic]) -> None:
    """One socket of the dump: its inode, and from struct tcp_info its counts."""
    (inode,) = struct.unpack_from("=I", data, 68)
    place = 72
    while place + 4 <= len(data):
        size, kind = struct.unpack_from("=HH", data, place)
        if kind == INFORMATION and size >= 4 + 160:
            acked, received = struct.unpack_from("=QQ", data, place + 4 + 120)
            segments_in, segments_out = struct.unpack_from("=II", data, place + 4 + 152)
            found[inode] = (received, acked, segments_in, segments_out)
        if size < 4:
            return
        place += (size + 3) & ~3
