"""One probe of one edge for one watch, in two steps; the first failure ends the probe.

The first step fetches the manifest with Cache-Control: no-cache, records the time to first byte,
and expects status 200 and the marker within the first 64 bytes. The second step fetches the first
kilobyte of the object like an ordinary client and expects 200 or 206; see `ages` for its age. Where
the servers mark successful responses with a seal, a response without one is invalid.
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
"""Length of the manifest's beginning that must contain the marker."""
RANGE = b"bytes=0-1023"
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 16_777_216
OUTCOME_FIELD = b"x-ryelock-outcome"
OVERLOADED_OUTCOME = b"crowded"
OVERLOADED = "declined in a crowd"
"""Error of a probe rejected because of overload, which says nothing about the edge's health."""
UNSEALED = "no server's seal"


class ProbeStepError(HealthError):
    """A step failed without a usable response; the text becomes the result's error."""


class Probe:
    """A probe of one edge for one watch."""

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
            watch: the objects to fetch, and the method to determine their age.
            timeout_seconds: timeout of both steps together.
            prober_credentials: the prober's name and secret, which the edge verifies.
            profile: HTTP profile of the deployment.
        """
        self.profile = profile
        self.scheduler = scheduler
        self.network = network
        self.address = address
        self.watch = watch
        self.timeout_seconds = timeout_seconds
        self.prober_credentials = prober_credentials

    async def run(self, result: ProbeResult, timer: OutdatedTagTimer) -> None:
        """Run the steps and fill in the result; a failed step ends the probe."""
        result.started_at = self.scheduler.now()
        deadline = result.started_at + self.timeout_seconds
        try:
            manifest = await self.fetch_manifest(result, deadline)
            if manifest is not None:
                await self.fetch_object(result, manifest, timer, deadline)
        except ProbeStepError as error:
            result.error = str(error)

    async def fetch_manifest(self, result: ProbeResult, deadline: float) -> FetchedResponse | None:
        """Run the first step; return None if the manifest is invalid."""
        target = self.watch.manifest or self.watch.object
        manifest = await self.fetch(target, [(b"Cache-Control", b"no-cache")], deadline)
        result.reachable = True
        result.ttfb_ms = round((manifest.received_at - result.started_at) * 1000, 1)
        result.error = self.manifest_error(manifest)
        result.manifest_valid = not result.error
        return manifest if result.manifest_valid else None

    async def fetch_object(
        self,
        result: ProbeResult,
        manifest: FetchedResponse,
        timer: OutdatedTagTimer,
        deadline: float,
    ) -> None:
        """Run the second step: fetch the object and determine its age."""
        served = await self.fetch(self.watch.object, [(b"Range", RANGE)], deadline)
        if served.status not in (200, 206):
            result.error = status_error("object", served)
            return
        if not self.has_seal(served):
            result.error = UNSEALED
            return
        result.object_fetchable = True
        now = self.scheduler.now()
        result.age_seconds = object_age(self.watch, manifest, served, timer, now)

    def manifest_error(self, manifest: FetchedResponse) -> str:
        """Return why the manifest is invalid; empty if it is valid."""
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
        """Return True if the response has the server's seal or the deployment uses none."""
        seal = self.profile.seal.lower()
        return not seal or field(fetched.fields, seal) is not None

    async def fetch(self, target: str, fields: Fields, deadline: float) -> FetchedResponse:
        """Fetch one target over a new connection.

        Raises:
            ProbeStepError: there was no complete response.
        """
        connection = self.network.connect(self.address)
        try:
            if not await connection.wait_connected(max(0.0, deadline - self.scheduler.now())):
                raise ProbeStepError("timeout" if self.scheduler.now() >= deadline else "no link")
            send_request(
                connection, b"GET", target.encode(), self.request_fields(fields, deadline), b""
            )
            return await self.read_fetched_response(connection, deadline)
        except IncompleteMessageError:
            raise ProbeStepError("answer cut") from None
        except ReadTimeoutError:
            raise ProbeStepError("timeout") from None
        except FramingError as error:
            raise ProbeStepError(error.reason) from None
        finally:
            connection.close()

    def request_fields(self, fields: Fields, deadline: float) -> Fields:
        """Return a request's header fields: the given ones and those common to all probes."""
        host = self.watch.host or self.address
        request_fields = [
            (b"Host", host.encode()),
            (b"X-Ryelock-Probe", self.prober_credentials.encode()),
            *fields,
        ]
        if self.profile.deadline:
            remaining_ms = max(1, int((deadline - self.scheduler.now()) * 1000))
            request_fields.append((self.profile.deadline, b"%d" % remaining_ms))
        return [*request_fields, (b"Connection", b"close")]

    async def read_fetched_response(
        self, connection: Connection, deadline: float
    ) -> FetchedResponse:
        """Read a response to its end, keeping only the first bytes of the body."""
        response = await read_response(
            Reader(self.scheduler, connection), b"GET", MAX_HEAD_BYTES, deadline
        )
        if response.is_error():
            raise ProbeStepError(response.error.reason)
        head, body, received_at = response.ok.head, response.ok.body, self.scheduler.now()
        body_start = b""
        total_bytes = 0
        while True:
            chunk = await body.read_chunk(deadline)
            if not chunk and body.complete:
                return FetchedResponse(head.status, head.fields, body_start, received_at)
            total_bytes += len(chunk)
            if total_bytes > MAX_BODY_BYTES:
                raise ProbeStepError("body too large")
            if len(body_start) < MARKED_BYTES:
                body_start += chunk[:MARKED_BYTES]


def status_error(step: str, response: FetchedResponse) -> str:
    """Return the error of a step whose response has an unexpected status."""
    if field(response.fields, OUTCOME_FIELD) == OVERLOADED_OUTCOME:
        return OVERLOADED
    return f"{step} status {response.status}"
