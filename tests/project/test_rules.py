"""Each rule held by its mechanism, and broken where the mechanism is taken out."""

from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from dataclasses import replace
from typing import Any
from unittest import mock

import testtools
from expression import Ok

from ryelock.cache import CacheStore
from ryelock.consensus import Consensus
from ryelock.consensus.election import Election
from ryelock.consensus.leadership import Leadership
from ryelock.consensus.messages import LeaseRequest, VoteReply, VoteRequest
from ryelock.consensus.quorum_lease import QuorumLease
from ryelock.consensus.replicator import Replicator
from ryelock.consensus.transfer import IncomingSnapshot
from ryelock.control_plane.voters import VoterManager
from ryelock.edge.admission import AdmissionController
from ryelock.edge.idempotency_claims import ClaimStatus
from ryelock.edge.member import EdgeSession
from ryelock.edge.request import RequestClass
from ryelock.edge.retry_detector import RetryDetector
from ryelock.edge.routing import Router
from ryelock.edge.servers import Servers
from ryelock.http import Body, IncompleteMessageError
from ryelock.http.server import HttpServer
from ryelock.rate_limit import Grant, QuotaAllocator, RetryBudget
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc.codec import Natural
from ryelock.testing.cases import CASES
from ryelock.testing.simulated import SimFolder

Patch = AbstractContextManager[Any]


def always(value: object) -> Callable[..., object]:
    return lambda *_arguments, **_named: value


def no_terms() -> list[Patch]:
    return [mock.patch.object(EdgeSession, "serving", property(always(True)))]


def redispatched() -> list[Patch]:
    plain = Router.find_route

    def find_route(router: Router, request: Any) -> Any:
        route = plain(router, request)
        request.request_class = RequestClass.IDEMPOTENT
        return route

    return [mock.patch.object(Router, "find_route", find_route)]


def cut_taken_for_whole() -> list[Patch]:
    plain = Body.read_chunk

    async def piece(body: Body, until: float) -> bytes:
        try:
            return await plain(body, until)
        except IncompleteMessageError:
            body.complete = True
            return b""

    return [mock.patch.object(Body, "read_chunk", piece)]


def whole_rate_to_each() -> list[Patch]:
    return [
        mock.patch.object(QuotaAllocator, "share", lambda _allocator, request, *_rest: request.rate)
    ]


def boundless_repeats() -> list[Patch]:
    return [
        mock.patch.object(RetryBudget, "try_retry", always(True)),
        *(
            mock.patch(f"ryelock.rate_limit.{module}.usable_rate", lambda rate, *_rest: rate)
            for module in ("rates", "quota_allocator")
        ),
    ]


def first_listing_for_ever() -> list[Patch]:
    plain = Servers.update

    def update(servers: Servers, listing: Any) -> None:
        if servers.server_list is None:
            plain(servers, listing)

    return [
        mock.patch.object(Servers, "update", update),
        mock.patch.object(Servers, "list_is_valid", always(True)),
    ]


def no_purges() -> list[Patch]:
    return [mock.patch.object(CacheStore, "apply_purges", always(0))]


def fills_outlive_purges() -> list[Patch]:
    def apply_purges(store: CacheStore, _purges: Any, newest: int) -> int:
        if newest > store.last_purge:
            store.variants.clear()
        return 0

    return [mock.patch.object(CacheStore, "apply_purges", apply_purges)]


def no_lifetime() -> list[Patch]:
    return [mock.patch("ryelock.edge.cache_lookup.may_reuse", always(True))]


def no_sync() -> list[Patch]:
    return [mock.patch.object(SimFolder, "sync", always(None))]


def reads_from_memory() -> list[Patch]:
    async def confirm(_consensus: Consensus, _seconds: float) -> bool:
        return True

    return [
        mock.patch.object(Consensus, "confirm_leadership", confirm),
        mock.patch.object(
            Leadership, "majority_contact_at", lambda leadership: leadership.state.now()
        ),
    ]


def alone_is_a_majority() -> list[Patch]:
    def advance_commit_index(replicator: Replicator) -> None:
        replicator.applier.advance(replicator.state.last_index)

    return [mock.patch.object(Replicator, "advance_commit_index", advance_commit_index)]


def declined_takes_effect() -> list[Patch]:
    plain = ReplicatedState.apply_change

    def change(replicated_state: ReplicatedState, word: dict[str, Any]) -> dict[str, object]:
        outcome = plain(replicated_state, word)
        if outcome["status"] == "conflict":
            plain(
                replicated_state, {"change": {**word["change"], "base": replicated_state.version}}
            )
        return outcome

    return [mock.patch.object(ReplicatedState, "apply_change", change)]


def no_wait_for_answers() -> list[Patch]:
    plain = HttpServer.finish

    async def finish(server: HttpServer, _seconds: float) -> bool:
        return await plain(server, 0.0)

    return [mock.patch.object(HttpServer, "finish", finish)]


def keys_known_to_nobody() -> list[Patch]:
    async def claim(
        _member: EdgeSession, _key: bytes, _request: str, _seconds: float
    ) -> ClaimStatus:
        return ClaimStatus.CLAIMED

    return [mock.patch.object(EdgeSession, "claim", claim)]


def claims_of_one_disk() -> list[Patch]:
    """The leader's memory alone: lost with it."""

    async def note(consensus: Consensus, data: bytes) -> Any:
        return Ok(consensus.state_machine.apply(consensus.applied_index, data))

    return [mock.patch.object(Consensus, "propose_internal", note)]


def keys_never_given_back() -> list[Patch]:
    return [mock.patch.object(AdmissionController, "release_key", always(None))]


def requests_granted_as_wanted() -> list[Patch]:
    return [
        mock.patch.object(
            QuotaAllocator,
            "grant",
            lambda _allocator, request, *_rest: Grant(request.queued, request.rate, 1.0),
        )
    ]


def no_service_is_narrow() -> list[Patch]:
    return [
        mock.patch(f"ryelock.{place}.is_low_rate", always(False))
        for place in ("control_plane.quota_shares", "edge.quota_shares")
    ]


def unmarked_taken_for_first() -> list[Patch]:
    return [mock.patch.object(RetryDetector, "is_retry", always(False))]


def unsent_requests_earn_repeats() -> list[Patch]:
    plain = AdmissionController.admit

    async def admit(
        admission: AdmissionController, exchange: Any, request: Any, route: Any, key: Any = None
    ) -> Any:
        admission.context.admission_queues[request.service].budget.record_request()
        return await plain(admission, exchange, request, route, key)

    return [mock.patch.object(AdmissionController, "admit", admit)]


def no_spare_voter() -> list[Patch]:
    return [mock.patch.object(VoterManager, "ready_standbys", always([]))]


def no_promises() -> list[Patch]:
    def on_request(_lease: QuorumLease, _request: LeaseRequest) -> dict[str, object]:
        return {"granted": False}

    return [mock.patch.object(QuorumLease, "on_request", on_request)]


def snapshots_never_whole() -> list[Patch]:
    return [mock.patch.object(IncomingSnapshot, "complete", property(always(False)))]


def votes_for_shorter_logs() -> list[Patch]:
    """A member takes its log for empty when it votes."""
    plain = Election.on_vote
    highest = Natural(1 << 40)

    def on_vote(election: Election, request: VoteRequest) -> VoteReply:
        return plain(election, replace(request, last_term=highest, last_index=highest))

    return [mock.patch.object(Election, "on_vote", on_vote)]


TAKEN_OUT: tuple[tuple[str, Callable[[], list[Patch]], str], ...] = (
    ("cut-edges", no_terms, "changes"),
    ("mean-servers", redispatched, "once"),
    ("mean-servers", cut_taken_for_whole, "bytes"),
    ("repeated-keys", keys_known_to_nobody, "once"),
    ("repeated-keys", claims_of_one_disk, "once"),
    ("repeated-keys", keys_never_given_back, "keys"),
    ("narrow-desks", requests_granted_as_wanted, "rate"),
    ("narrow-desks", no_service_is_narrow, "goodput"),
    ("unmarked-repeats", unmarked_taken_for_first, "repeats"),
    ("unmarked-repeats", unsent_requests_earn_repeats, "repeats"),
    ("crowd", whole_rate_to_each, "rate"),
    ("crowd", boundless_repeats, "repeats"),
    ("handed-address", first_listing_for_ever, "service"),
    ("handed-address", first_listing_for_ever, "leaving"),
    ("purge-flood", no_purges, "purges"),
    ("purge-flood", fills_outlive_purges, "purges"),
    ("lifetimes", no_lifetime, "lifetimes"),
    ("all-power", no_sync, "end of day"),
    ("deposed-leader", reads_from_memory, "reads"),
    ("deposed-leader", alone_is_a_majority, "changes"),
    ("cut-edges", declined_takes_effect, "changes"),
    ("crash-points", no_sync, "points"),
    ("crash-purge", no_sync, "points"),
    ("crash-drain", no_sync, "points"),
    ("crash-image", no_sync, "points"),
    ("crash-claim", no_sync, "points"),
    ("lost-disk", no_spare_voter, "voters"),
    ("scattered", no_promises, "promises"),
    ("crash-voters", no_spare_voter, "points"),
    ("rolling", no_wait_for_answers, "rolling"),
    ("many-changes", snapshots_never_whole, "catch-up"),
    ("many-changes", votes_for_shorter_logs, "catch-up"),
    ("many-changes", no_sync, "lost"),
    ("closing-disk-loss", no_sync, "acknowledged kept"),
    ("closing-disk-loss", votes_for_shorter_logs, "acknowledged kept"),
    ("closing-disk-loss", alone_is_a_majority, "acknowledged kept"),
    ("closing-disk-loss", no_terms, "changes"),
    ("mass-failure", no_sync, "end of day"),
    ("mass-failure", no_terms, "changes"),
)


# Where a change of what else a run does left none of the first three seeds that shows the rule
# broken, three others stand; of twelve, eight break before and after (4 to 9, 11, 12).
SEEDS: dict[tuple[str, Callable[[], list[Patch]]], tuple[int, int, int]] = {
    ("repeated-keys", claims_of_one_disk): (4, 5, 6),
    # Of seeds 1 to 6: before an election soon after a start 1 and 3 broke of the first three,
    # now 4, 5 and 6 of all.
    ("crash-image", no_sync): (4, 5, 6),
    # A shorter log wins in 13 of the seeds 1 to 24, these among them; what others have compacted
    # it cannot overwrite, so nobody settles as leader.
    ("many-changes", votes_for_shorter_logs): (3, 4, 5),
    # An entry that the leader alone has when it is acknowledged is rare, since edges renew first:
    # one of the seeds 1 to 6.
    ("closing-disk-loss", alone_is_a_majority): (6, 12, 18),
}


class RuleTests(testtools.TestCase):
    """Each case with its mechanism in place, and with it taken out; one test each."""


def holds(name: str, seed: int) -> Callable[[RuleTests], None]:
    def test(case: RuleTests) -> None:
        found = CASES[name](seed)
        case.assertEqual([], found.violations, f"case {name} seed {seed}")
        case.assertTrue(sum(found.checked.values()) > 0)

    return test


def breaks(
    name: str, taken_out: Callable[[], list[Patch]], rule: str
) -> Callable[[RuleTests], None]:
    def test(case: RuleTests) -> None:
        broken: set[str] = set()
        for seed in SEEDS.get((name, taken_out), (1, 2, 3)):
            with ExitStack() as stack:
                for patch in taken_out():
                    stack.enter_context(patch)
                try:
                    found = CASES[name](seed)
                except AssertionError as error:
                    broken.add(str(error))
                    continue
            broken |= {line.partition(":")[0] for line in found.violations}
            if rule in broken:
                break
        case.assertIn(rule, broken, f"{name} without {taken_out.__name__}")

    return test


for one in CASES:
    for number in (1, 2):
        setattr(RuleTests, f"test_{one.replace('-', '_')}_{number}", holds(one, number))
for one, out, broken_rule in TAKEN_OUT:
    setattr(
        RuleTests,
        f"test_{one.replace('-', '_')}_without_{out.__name__}_{broken_rule}".replace(" ", "_"),
        breaks(one, out, broken_rule),
    )
