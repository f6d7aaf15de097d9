"""An edge's or a prober's membership: one session, one term, one replica that follows.

One task renews with the leader: it says what this node is, has and needs, and the answer
brings words of the register, members, servers, shares and a term. The term counts from before
the asking, less the age of the leader's own proof of its majority. Where no voter knows a
leader, so many voters must promise to join none that no majority can exist without one of
them, and none of them may hold a word that this node has not applied. See docs/design.md.
"""

from collections.abc import Callable

from ryelock.edge.promises import QuorumLeaseVote, are_enough, decode_vote
from ryelock.events import LEASE_ACQUIRED, LEASE_EXPIRED, LEASE_GRANTED_BY_QUORUM, Log
from ryelock.membership import ServerList, Session, servers_from_wire
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message, RpcClients
from ryelock.runtime import Queue, Scheduler, Task

HOLD_SECONDS = 0.15
HOLD_EACH = 0.01
HOLD_MOST = 1.0
ANSWER_SECONDS = 0.4
ROUND_SECONDS = 0.25
FAILED_SECONDS = 0.5
UNREACHED_SECONDS = 0.4
RELEASE_SECONDS = 30.0
Demand = Callable[[], dict[str, float]]
Shares = Callable[[dict[str, float], float, int], None]
Wanted = Callable[[], dict[str, int]]
Grants = Callable[[dict[str, tuple[int, float, float]], float], None]


class EdgeSession:
    """What this node knows of the control plane, and its right to serve."""

    __slots__ = (
        "changed",
        "cores",
        "demand",
        "edges",
        "failed",
        "failed_version",
        "failing_since",
        "failures",
        "gone",
        "grants",
        "hear_failed",
        "hold_seconds",
        "holding",
        "leader",
        "leaving",
        "lines",
        "listing",
        "listing_news",
        "listing_term",
        "log",
        "members",
        "members_version",
        "named",
        "objects",
        "pending",
        "promised_shares",
        "replicated_state",
        "running",
        "scheduler",
        "seeds",
        "sequence",
        "serve_lapsed",
        "session",
        "shares",
        "term_seconds",
        "term_until",
        "unsure",
        "wanted",
        "was_serving",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        lines: RpcClients,
        log: Log,
        replicated_state: ReplicatedState,
        session: Session,
        seeds: tuple[str, ...],
        term_seconds: float,
        listing_term: float,
        hold_seconds: float = HOLD_SECONDS,
        serve_lapsed: bool = False,
    ) -> None:
        self.scheduler = scheduler
        self.lines = lines
        self.log = log
        self.replicated_state = replicated_state
        self.session = session
        self.seeds = seeds
        self.term_seconds = term_seconds
        self.listing_term = listing_term
        self.hold_seconds = hold_seconds
        self.serve_lapsed = serve_lapsed
        self.term_until = -1e9
        self.was_serving = False
        self.unsure = False
        self.leader = ""
        self.failed = ("", -1e9)
        self.failing_since = 1e18
        self.named = False
        self.cores: list[str] = []
        self.members: dict[str, Session] = {}
        self.gone: dict[str, Session] = {}
        self.members_version: tuple[str, int] = ("", -1)
        self.listing: ServerList | None = None
        self.pending: ServerList | None = None
        self.edges = 1
        self.sequence = 0
        self.leaving = False
        self.changed: Callable[[], None] = lambda: None
        self.listing_news: Callable[[ServerList], None] = lambda _listing: None
        self.demand: Demand = dict
        self.holding: Demand = dict
        self.promised_shares: Demand = dict
        self.wanted: Wanted = dict
        self.objects: Callable[[], list[list[str]]] = list
        self.failures: Callable[[], list[bytes]] = list
        self.hear_failed: Callable[[list[bytes]], None] = lambda _callers: None
        self.failed_version: tuple[str, int] = ("", 0)
        self.grants: Grants = lambda _grants, _asked: None
        self.shares: Shares = lambda _shares, _until, _edges: None
        self.running: Task | None = None

    def start(self) -> None:
        self.running = self.scheduler.create_task(self.work(), name="member", urgent=True)

    def stop(self) -> None:
        if self.running is not None:
            self.running.cancel()

    @property
    def serving(self) -> bool:
        """Whether orders may be served now: under a term or, where that is set, after one."""
        if self.serve_lapsed:
            return self.replicated_state.version > 0
        return self.scheduler.now() < self.term_until

    async def work(self) -> None:
        """Renew for ever; look for the leader where it is not known."""
        turn = 0
        while True:
            self.tell_term()
            if not self.leader:
                candidates = self.control_nodes
                await self.look_for_leader(candidates)
                turn += 1
            if not self.leader:
                through = await self.renew_through(candidates[turn % len(candidates)])
                if not through:
                    await self.ask_promises()
                    await self.scheduler.sleep(0.1)
                continue
            renewed = await self.renew(self.leader)
            if renewed:
                self.failing_since = 1e18
            else:
                if self.failed[0] != self.leader or self.failing_since > 1e17:
                    self.failing_since = self.scheduler.now()
                self.failed = (self.leader, self.scheduler.now() + FAILED_SECONDS)
                self.leader = ""
            if self.unsure:
                await self.ask_promises()

    async def renew_through(self, other: str) -> bool:
        """The leader cannot be reached from here: perhaps another control node can reach it.

        Only where others still name it after a while: they would miss it by then, were it gone.
        """
        since = self.scheduler.now() - self.failing_since
        if not self.named or other == self.failed[0] or since < UNREACHED_SECONDS:
            return False
        return await self.renew(other)

    def tell_term(self) -> None:
        serving = self.scheduler.now() < self.term_until
        if serving != self.was_serving:
            self.was_serving = serving
            self.log.write(LEASE_ACQUIRED if serving else LEASE_EXPIRED)

    async def look_for_leader(self, candidates: list[str]) -> None:
        """Ask every known control node at once; the first that knows a leader decides.

        For a moment the leader that just gave no answer is not taken again: others may name
        it until they notice themselves.
        """
        box: Queue[str] = Queue(self.scheduler)
        for address in candidates:
            self.scheduler.create_task(self.ask_leader(address, box), name="who leads", urgent=True)
        until = self.scheduler.now() + ROUND_SECONDS
        self.named = False
        for _ in candidates:
            found = await box.get(max(0.0, until - self.scheduler.now()))
            if found is None:
                return
            failed = found == self.failed[0] and self.scheduler.now() < self.failed[1]
            self.named = self.named or failed
            if found and not failed:
                self.leader = found
                return

    async def ask_leader(self, address: str, box: Queue[str]) -> None:
        found = await self.lines.call(address, {"kind": "council.who"}, 0.4)
        leader = found.ok.get("leader_address") if found.is_ok() else ""
        box.put(leader if isinstance(leader, str) else "")

    def asking(self) -> Message:
        self.sequence += 1
        vector: dict[str, int] = {"register": self.replicated_state.index}
        for known in (self.listing, self.pending):
            if known is not None:
                vector[known.source] = known.version
        if self.failed_version[0]:
            vector[self.failed_version[0]] = self.failed_version[1]
        if self.members_version[0]:
            vector[self.members_version[0]] = self.members_version[1]
        return {
            "session": self.session.to_wire(),
            "sequence": self.sequence,
            "vector": vector,
            "demand": self.demand(),
            "holding": self.holding(),
            "wanted": self.wanted(),
            "failed": self.failures(),
            "objects": self.objects(),
        }

    async def renew(self, leader: str) -> bool:
        """One ask to the leader, and all that its answer brings."""
        asked = self.scheduler.now()
        self.unsure = False
        hold = self.hold_seconds
        if self.serve_lapsed:
            hold = max(hold, min(HOLD_MOST, self.edges * HOLD_EACH))
        message = {"kind": "renew", "hold": hold, **self.asking()}
        found = await self.lines.call(leader, message, hold + ANSWER_SECONDS)
        if found.is_error() or found.ok.get("ok") is not True:
            return False
        answer = found.ok
        try:
            if not self.take_words(answer):
                return True
            self.take_soft(answer, asked)
            age = answer["age"]
            if not isinstance(age, float) or age < 0:
                raise ValueError("age")
            until = asked + self.term_seconds - age
            self.unsure = answer.get("term") is not True
            if not self.unsure and not self.leaving:
                self.term_until = max(self.term_until, until)
            shares, edges = answer.get("shares"), answer.get("edges")
            if isinstance(shares, dict) and isinstance(edges, int):
                self.edges = edges
                self.shares(
                    {str(name): float(share) for name, share in shares.items()}, until, edges
                )
            failed = answer.get("failed")
            if isinstance(failed, dict):
                self.failed_version = (str(failed["source"]), int(failed["version"]))
                self.hear_failed(
                    [caller for caller in failed["callers"] if isinstance(caller, bytes)]
                )
            grants = answer.get("grants")
            if isinstance(grants, dict):
                self.grants(
                    {
                        str(name): (int(granted), float(expected), float(found))
                        for name, (granted, expected, found) in grants.items()
                    },
                    asked,
                )
        except (KeyError, TypeError, ValueError):
            return False
        self.tell_term()
        return True

    def take_words(self, answer: Message) -> bool:
        """Apply words or an image; False where they do not reach this node's place."""
        replicated_state = self.replicated_state
        snapshot, words, index = answer.get("image"), answer.get("words"), answer.get("index")
        if isinstance(snapshot, bytes):
            if isinstance(index, int) and index < replicated_state.index:
                return False
            replicated_state.restore(snapshot)
        elif isinstance(words, list):
            for word in words:
                place, data = word
                if place > replicated_state.index:
                    replicated_state.apply(place, data)
        if not isinstance(index, int) or index < replicated_state.index:
            return False
        moved = snapshot is not None or bool(words)
        replicated_state.index = index
        if moved:
            self.changed()
        return True

    def take_soft(self, answer: Message, asked: float) -> None:
        listing = answer.get("listing")
        if isinstance(listing, dict):
            self.take_listing(listing, asked)
        members = answer.get("members")
        if isinstance(members, dict):
            self.take_members(members)
            gone = [Session.from_wire(plain) for plain in members["gone"]]
            self.gone = {session.name: session for session in gone}
            self.cores = [
                session.rpc_address for session in self.members.values() if session.role == "core"
            ]

    def take_members(self, plain: Message) -> None:
        """All members, or what changed since the version that is known here."""
        source, version = str(plain["source"]), int(str(plain["version"]))
        sessions, removed = plain["sessions"], plain.get("removed", [])
        if not isinstance(sessions, list) or not isinstance(removed, list):
            raise ValueError("members")
        found = {session.name: session for session in map(Session.from_wire, sessions)}
        if "since" in plain:
            if (source, plain["since"]) != self.members_version:
                return
            found = {
                **{name: session for name, session in self.members.items() if name not in removed},
                **found,
            }
        self.members_version = (source, version)
        self.members = found

    def take_listing(self, plain: Message, asked: float) -> None:
        """Follow a listing; one of another source waits until it is certainly the later one."""
        now = self.scheduler.now()
        source, version = str(plain["source"]), int(str(plain["version"]))
        since, seen = asked - float(str(plain["age"])), now - float(str(plain["fresh"]))
        held = self.listing
        fresh = next(
            (
                known
                for known in (held, self.pending)
                if known is not None and (known.source, known.version) == (source, version)
            ),
            None,
        )
        if "servers" in plain:
            servers = servers_from_wire(plain["servers"])
            fresh = ServerList(source, version, servers, since, seen)
        if fresh is None:
            return
        fresh.confirm(since, seen, self.listing_term)
        if fresh is held:
            return
        if held is None or held.source == source or now >= held.valid_until or fresh.follows(held):
            self.listing, self.pending = fresh, None
            self.listing_news(fresh)
        else:
            self.pending = fresh

    @property
    def control_nodes(self) -> list[str]:
        return list(dict.fromkeys([*self.seeds, *self.cores]))

    async def ask_promises(self) -> None:
        """Without a leader: a term on the promises of enough voters."""
        if (
            self.session.role != "edge"
            or self.leaving
            or self.replicated_state.index == 0
            or self.serve_lapsed
        ):
            return
        asked = self.scheduler.now()
        box: Queue[Message | None] = Queue(self.scheduler)
        addresses = self.control_nodes
        message: Message = {
            "kind": "council.promise",
            "seconds": self.term_seconds,
            **self.asking(),
        }
        for address in addresses:
            self.scheduler.create_task(
                self.ask_promise(address, message, box), name="promise", urgent=True
            )
        promises: list[QuorumLeaseVote] = []
        soft: Message | None = None
        for _ in addresses:
            found = await box.get(max(0.0, asked + ROUND_SECONDS - self.scheduler.now()))
            promise = None if found is None else decode_vote(found)
            if promise is None:
                continue
            promises.append(promise)
            soft = found
            if are_enough(promises):
                break
        behind = any(promise.last > self.replicated_state.index for promise in promises)
        if behind or not are_enough(promises):
            return
        until = asked + self.term_seconds
        self.term_until = max(self.term_until, until)
        self.shares(self.promised_shares(), until, self.edges)
        if soft is not None:
            try:
                self.take_soft(soft, asked)
            except (KeyError, TypeError, ValueError):
                pass
        self.log.write(
            LEASE_GRANTED_BY_QUORUM, voters=sorted({promise.disk for promise in promises})
        )
        self.tell_term()

    async def ask_promise(self, address: str, message: Message, box: Queue[Message | None]) -> None:
        found = await self.lines.call(address, message, 0.4)
        box.put(found.ok if found.is_ok() else None)

    async def claim(self, key: bytes, request: str, seconds: float) -> str:
        """Claim a key for an order: "claimed", "known" where another order has it, else "".

        The same order may ask again: it gets the same answer.
        """
        message: Message = {"kind": "claim", "key": key, "order": request}
        return await self.tell_core(message, ("claimed", "known"), seconds)

    async def release(self, key: bytes, request: str) -> None:
        """Give a key back whose order certainly did not run; tried for a while."""
        message: Message = {"kind": "release", "key": key, "order": request}
        await self.tell_core(message, ("released",), RELEASE_SECONDS)

    async def tell_core(self, message: Message, wanted: tuple[str, ...], seconds: float) -> str:
        """The leader's answer, by way of another control node where it is out of reach."""
        until = self.scheduler.now() + seconds
        turn = 0
        while self.scheduler.now() < until:
            others = self.control_nodes
            address = self.leader or others[turn % len(others)]
            turn += 1
            left = max(0.05, until - self.scheduler.now())
            found = await self.lines.call(address, message, min(ANSWER_SECONDS, left))
            status = str(found.ok.get("status")) if found.is_ok() else ""
            if status in wanted:
                return status
            await self.scheduler.sleep(0.05)
        return ""

    async def say_goodbye(self) -> None:
        """A planned end: no member any more, and not missed."""
        self.leaving = True
        self.term_until = -1e9
        self.stop()
        if self.leader:
            await self.lines.call(
                self.leader,
                {
                    "kind": "leave",
                    "name": self.session.name,
                    "incarnation": self.session.incarnation,
                },
                1.0,
            )

    def verdicts(self) -> dict[str, str]:
        """Each zone's word in the present verdict."""
        zones = self.replicated_state.verdict.get("zones")
        if not isinstance(zones, dict):
            return {}
        return {str(zone): str(found.get("verdict")) for zone, found in zones.items()}
