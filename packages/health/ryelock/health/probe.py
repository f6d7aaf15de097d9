"""One probe of one (zone, edge) target for one watch: steps in order, stop at the first failure.

The first step fetches the manifest with Cache-Control: no-cache, records the time to first
byte and wants 200 and the marker within the first 64 bytes. The second fetches the first
kilobyte of the object as any reader would, and wants 200 or 206. Age is judged on the
server's own clock: the no-cache answer's Date says what time the server has, so neither the
prober's nor the edge's clock can make an object look old. A Date alone does not outweigh an
ETag that is the newest one's, since servers of one service may have clocks that differ. Where
nothing dates the object, the prober may count on its own monotonic clock how long a newer one
has been out. Otherwise the age is unknown, which is not a failure. Where servers seal
their successes, one without a seal proves nothing and is invalid.
"""

import hashlib
from dataclasses import dataclass

from ryelock.http import (
    Fields,
    ProtocolProfile,
    Reader,
    field,
    parse_http_date,
    read_response,
    send_request,
)
from ryelock.http.errors import FramingError, IncompleteMessageError, ReadTimeoutError
from ryelock.replicated_state import Watch
from ryelock.runtime import Connection, Network, Scheduler

MARKED_BYTES = 64
RANGE = b"bytes=0-1023"
HEAD_MOST = 65_536
BODY_MOST = 16_777_216
GONE = tuple(f"manifest status {status}" for status in (401, 403, 404, 410))
UNSEALED = "no server's seal"
CROWD, CROWDED = b"crowded", "declined in a crowd"


def watch_fingerprint(watch: Watch) -> str:
    """Tells a watch from another of its name: rows of one prove nothing about the other."""
    return hashlib.sha256(repr(watch).encode()).hexdigest()[:12]


@dataclass(slots=True, eq=False)
class ProbeResult:
    """What one probe came to; the source's tuple and where it is from.

    The probe fills it in step by step.

    Attributes:
        prober: name of the probing node.
        machine: machine it runs on.
        sequence: number of the probe at this prober.
        zone: zone of the edge.
        edge: name of the edge.
        watch: name of the watch.
        outside: whether the edge stands in another zone than the prober.
        wall: seconds since 1970 by the prober's clock.
        mark: tells this watch from another of its name, see `watch_mark`.
        taken: monotonic time at which the probe began, by this process's clock.
        reachable: whether the edge answered.
        manifest_valid: whether the first step succeeded.
        object_fetchable: whether the second step succeeded.
        age: age of the served object in seconds, None where unknown.
        ttfb: milliseconds to the first byte of the manifest, None without an answer.
        error: why a step failed, empty where none did.
    """

    prober: str
    machine: str
    sequence: int
    zone: str
    edge: str
    watch: str
    cross_zone: bool
    wall_time: float
    watch_fingerprint: str
    started_at: float = 0.0
    reachable: bool = False
    manifest_valid: bool = False
    object_fetchable: bool = False
    age_seconds: float | None = None
    ttfb_ms: float | None = None
    error: str = ""

    @property
    def failed(self) -> bool:
        """Whether a step of the probe failed."""
        return not (self.reachable and self.manifest_valid and self.object_fetchable)

    @property
    def gone(self) -> bool:
        """Whether the object is not to be had (any more), as its server says."""
        return self.error in GONE

    def to_wire(self, now: float) -> list[object]:
        """For the wire: when it was taken goes as how long ago."""
        return [
            self.prober,
            self.machine,
            self.sequence,
            self.zone,
            self.edge,
            self.watch,
            self.cross_zone,
            self.wall_time,
            now - self.started_at,
            self.reachable,
            self.manifest_valid,
            self.object_fetchable,
            self.age_seconds,
            self.ttfb_ms,
            self.error,
            self.watch_fingerprint,
        ]

    def to_dict(self) -> dict[str, object]:
        """Return the row as the record of decisions shows it, under the source's names."""
        return {
            "prober": self.prober,
            "machine": self.machine,
            "edge": self.edge,
            "watch": self.watch,
            "wall": round(self.wall_time, 3),
            "reachable": self.reachable,
            "manifest_valid": self.manifest_valid,
            "segment_fetchable": self.object_fetchable,
            "segment_age_seconds": self.age_seconds,
            "ttfb_ms": self.ttfb_ms,
            "error": self.error,
        }


def decode_probe_result(plain: object, now: float) -> ProbeResult:
    """A row as it came over the wire; raises ValueError when it is none."""
    match plain:
        case [
            str(prober),
            str(machine),
            int(sequence),
            str(zone),
            str(edge),
            str(watch),
            bool(outside),
            int() | float() as wall,
            int() | float() as since,
            bool(reachable),
            bool(valid),
            bool(fetchable),
            age,
            ttfb,
            str(error),
            str(mark),
        ]:
            row = ProbeResult(
                prober, machine, sequence, zone, edge, watch, outside, float(wall), mark
            )
            row.started_at = now - max(0.0, float(since))
            row.reachable, row.manifest_valid, row.object_fetchable = reachable, valid, fetchable
            row.age_seconds = float(age) if isinstance(age, int | float) else None
            row.ttfb_ms = float(ttfb) if isinstance(ttfb, int | float) else None
            row.error = error[:200]
            return row
        case _:
            raise ValueError("not a row")


class OutdatedTagTimer:
    """For one target and watch: since when a newer object than the one served has been out."""

    __slots__ = ("outdated_since",)

    def __init__(self) -> None:
        """Start with no newer object known."""
        self.outdated_since: float | None = None

    def age(self, fresh: bytes | None, served: bytes | None, now: float) -> float | None:
        """Return for how long the served ETag has been outdated; None without both ETags."""
        if fresh is None or served is None:
            return None
        if fresh == served:
            self.outdated_since = None
            return 0.0
        if self.outdated_since is None:
            self.outdated_since = now
        return now - self.outdated_since


@dataclass(frozen=True, slots=True)
class FetchedResponse:
    """What one fetch of a probe brought.

    Attributes:
        status: HTTP status.
        fields: header fields.
        start: the body's first MARKED_BYTES bytes, or more.
        at: monotonic time at which the head had come.
    """

    status: int
    fields: Fields
    body_start: bytes
    received_at: float


class ProbeStepError(Exception):
    """A step did not come to an answer."""


class Probe:
    """Fetches through one edge for one watch."""

    __slots__ = (
        "address",
        "network",
        "prober_credentials",
        "profile",
        "scheduler",
        "timeout_seconds",
        "watch",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        address: str,
        watch: Watch,
        timeout_seconds: float,
        prober_credentials: str,
        profile: ProtocolProfile,
    ) -> None:
        """Prepare a probe.

        Args:
            scheduler: clock and timers.
            network: where connections are opened.
            address: host:port of the edge.
            watch: what to fetch and how to judge its age.
            timeout_seconds: deadline of the whole probe.
            prober_credentials: the prober's name and secret, which the edge checks.
            profile: header field names of the deployment.
        """
        self.profile = profile
        self.scheduler = scheduler
        self.network = network
        self.address = address
        self.watch = watch
        self.timeout_seconds = timeout_seconds
        self.prober_credentials = prober_credentials

    async def run(self, row: ProbeResult, dater: OutdatedTagTimer) -> None:
        """Fill in the row, in the order of the steps."""
        until = self.scheduler.now() + self.timeout_seconds
        row.started_at = self.scheduler.now()
        try:
            started = self.scheduler.now()
            manifest = await self.fetch(
                self.watch.manifest or self.watch.object, [(b"Cache-Control", b"no-cache")], until
            )
            row.reachable = True
            row.ttfb_ms = round((manifest.received_at - started) * 1000, 1)
            row.error = self.manifest_fault(manifest)
            if row.error:
                return
            row.manifest_valid = True
            served = await self.fetch(self.watch.object, [(b"Range", RANGE)], until)
            if served.status not in (200, 206):
                crowded = field(served.fields, b"x-ryelock-outcome") == CROWD
                row.error = CROWDED if crowded else f"object status {served.status}"
                return
            if not self.has_seal(served):
                row.error = UNSEALED
                return
            row.object_fetchable = True
            row.age_seconds = self.age_of(manifest, served, dater)
        except ProbeStepError as error:
            row.error = str(error)

    def manifest_fault(self, manifest: FetchedResponse) -> str:
        """Return what is wrong with the manifest; empty where nothing is."""
        if manifest.status != 200:
            crowded = field(manifest.fields, b"x-ryelock-outcome") == CROWD
            return CROWDED if crowded else f"manifest status {manifest.status}"
        if not self.has_seal(manifest):
            return UNSEALED
        if self.watch.marker:
            found = self.watch.marker.encode() in manifest.body_start[:MARKED_BYTES]
            return "" if found else "no marker in the manifest"
        if not manifest.body_start and field(manifest.fields, b"etag") is None:
            return "neither a body nor an ETag"
        return ""

    def has_seal(self, fetched: FetchedResponse) -> bool:
        """Tell whether the answer bears the server's seal, where the deployment has one."""
        seal = self.profile.seal.lower()
        return not seal or field(fetched.fields, seal) is not None

    def age_of(
        self, manifest: FetchedResponse, served: FetchedResponse, dater: OutdatedTagTimer
    ) -> float | None:
        """How old the served object is by the server's clock; None where unknown."""
        dating = self.watch.dating
        if dating == "none":
            return None
        modified = parse_http_date(field(served.fields, b"last-modified"))
        dated = parse_http_date(field(served.fields, b"date"))
        servers_now = parse_http_date(field(manifest.fields, b"date"))
        fresh_tag, served_tag = field(manifest.fields, b"etag"), field(served.fields, b"etag")
        same_object = not self.watch.manifest or self.watch.manifest == self.watch.object
        stamp = modified if dating == "last-modified" else None
        if stamp is None and dating != "etag":
            if same_object and fresh_tag is not None and fresh_tag == served_tag:
                return 0.0
            stamp = dated
        if stamp is not None and servers_now is not None:
            return round(
                max(0.0, servers_now + (served.received_at - manifest.received_at) - stamp), 1
            )
        if not same_object:
            return None
        age = dater.age(fresh_tag, served_tag, self.scheduler.now())
        return None if age is None else round(age, 1)

    async def fetch(self, target: str, fields: Fields, until: float) -> FetchedResponse:
        """Fetch one target over a connection of its own; raises ProbeFailed."""
        connection = self.network.connect(self.address)
        try:
            if not await connection.wait_connected(max(0.0, until - self.scheduler.now())):
                raise ProbeStepError("timeout" if self.scheduler.now() >= until else "no link")
            send_request(connection, b"GET", target.encode(), self.fields_with(fields, until), b"")
            return await self.read_fetched(connection, until)
        except IncompleteMessageError:
            raise ProbeStepError("answer cut") from None
        except ReadTimeoutError:
            raise ProbeStepError("timeout") from None
        except FramingError as error:
            raise ProbeStepError(error.reason) from None
        finally:
            connection.close()

    def fields_with(self, fields: Fields, until: float) -> Fields:
        """Return the header fields of a request: the given ones and those every probe bears."""
        host = self.watch.host or self.address
        found = [
            (b"Host", host.encode()),
            (b"X-Ryelock-Probe", self.prober_credentials.encode()),
            *fields,
        ]
        if self.profile.deadline:
            left = max(1, int((until - self.scheduler.now()) * 1000))
            found.append((self.profile.deadline, b"%d" % left))
        return [*found, (b"Connection", b"close")]

    async def read_fetched(self, connection: Connection, until: float) -> FetchedResponse:
        """Read an answer to its end; only the body's first bytes are kept."""
        answer = await read_response(Reader(self.scheduler, connection), b"GET", HEAD_MOST, until)
        if answer.is_error():
            raise ProbeStepError(answer.error.reason)
        head, body, at = answer.ok.head, answer.ok.body, self.scheduler.now()
        start = b""
        total = 0
        while True:
            piece = await body.read_chunk(until)
            if not piece and body.complete:
                return FetchedResponse(head.status, head.fields, start, at)
            total += len(piece)
            if total > BODY_MOST:
                raise ProbeStepError("body too large")
            if len(start) < MARKED_BYTES:
                start += piece[:MARKED_BYTES]
