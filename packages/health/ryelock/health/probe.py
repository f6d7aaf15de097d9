"""One probe of one (zone, edge) target for one watch: steps in order, stop at the first failure.

The first step fetches the manifest with Cache-Control: no-cache, records the time to first
byte and wants 200 and the marker within the first 64 bytes. The second fetches the first
kilobyte of the object as any reader would, and wants 200 or 206; see `ages` for how its age is
judged. Where servers seal their successes, one without a seal proves nothing and is invalid.
"""

from ryelock.health.ages import FetchedResponse, OutdatedTagTimer, object_age
from ryelock.health.results import HealthError, ProbeResult
from ryelock.http import (
    Fields,
    ProtocolProfile,
    Reader,
    field,
    read_response,
    send_request,
)
from ryelock.http.errors import FramingError, IncompleteMessageError, ReadTimeoutError
from ryelock.replicated_state import Watch
from ryelock.runtime import Connection, Network, Scheduler

MARKED_BYTES = 64
"""The marker stands within so many bytes of the manifest."""
RANGE = b"bytes=0-1023"
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 16_777_216
OUTCOME_FIELD = b"x-ryelock-outcome"
OVERLOADED_OUTCOME = b"crowded"
OVERLOADED = "declined in a crowd"
"""Error of a probe that was rejected since servers are full, which tells nothing of the edge."""
UNSEALED = "no server's seal"


class ProbeStepError(HealthError):
    """A step came to no answer; the text stands in the result."""


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

    async def run(self, result: ProbeResult, timer: OutdatedTagTimer) -> None:
        """Fill in the result, in the order of the steps; a failed step ends the probe."""
        result.started_at = self.scheduler.now()
        until = result.started_at + self.timeout_seconds
        try:
            manifest = await self.fetch_manifest(result, until)
            if manifest is not None:
                await self.fetch_object(result, manifest, timer, until)
        except ProbeStepError as error:
            result.error = str(error)

    async def fetch_manifest(self, result: ProbeResult, until: float) -> FetchedResponse | None:
        """Take the first step; None where the manifest is not valid."""
        target = self.watch.manifest or self.watch.object
        manifest = await self.fetch(target, [(b"Cache-Control", b"no-cache")], until)
        result.reachable = True
        result.ttfb_ms = round((manifest.received_at - result.started_at) * 1000, 1)
        result.error = self.manifest_fault(manifest)
        result.manifest_valid = not result.error
        return manifest if result.manifest_valid else None

    async def fetch_object(
        self, result: ProbeResult, manifest: FetchedResponse, timer: OutdatedTagTimer, until: float
    ) -> None:
        """Take the second step."""
        served = await self.fetch(self.watch.object, [(b"Range", RANGE)], until)
        if served.status not in (200, 206):
            result.error = status_error("object", served)
            return
        if not self.has_seal(served):
            result.error = UNSEALED
            return
        result.object_fetchable = True
        now = self.scheduler.now()
        result.age_seconds = object_age(self.watch, manifest, served, timer, now)

    def manifest_fault(self, manifest: FetchedResponse) -> str:
        """Return what is wrong with the manifest; empty where nothing is."""
        if manifest.status != 200:
            return status_error("manifest", manifest)
        if not self.has_seal(manifest):
            return UNSEALED
        if self.watch.marker:
            has_marker = self.watch.marker.encode() in manifest.body_start[:MARKED_BYTES]
            return "" if has_marker else "no marker in the manifest"
        if not manifest.body_start and field(manifest.fields, b"etag") is None:
            return "neither a body nor an ETag"
        return ""

    def has_seal(self, fetched: FetchedResponse) -> bool:
        """Tell whether the answer bears the server's seal, where the deployment has one."""
        seal = self.profile.seal.lower()
        return not seal or field(fetched.fields, seal) is not None

    async def fetch(self, target: str, fields: Fields, until: float) -> FetchedResponse:
        """Fetch one target over a connection of its own; raises ProbeStepError."""
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
        answer = await read_response(
            Reader(self.scheduler, connection), b"GET", MAX_HEAD_BYTES, until
        )
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
            if total > MAX_BODY_BYTES:
                raise ProbeStepError("body too large")
            if len(start) < MARKED_BYTES:
                start += piece[:MARKED_BYTES]


def status_error(step: str, response: FetchedResponse) -> str:
    """Return the error of a step whose answer has another status than it should."""
    if field(response.fields, OUTCOME_FIELD) == OVERLOADED_OUTCOME:
        return OVERLOADED
    return f"{step} status {response.status}"
