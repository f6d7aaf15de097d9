"""The leader's answers to sessions: words, members, servers, shares, and a term.

A term is given only while the leader's own proof of its majority is younger than the
shortest silence after which a voter could promise or elect, and it lasts one term less that
age. Account is kept of every term given and of the place in the register it was given with:
a word has reached all edges once each term given before it was either renewed with it or ended.
"""

from collections import deque

from ryelock.consensus import Consensus
from ryelock.control_plane.platform import PlatformReader
from ryelock.events import SESSION_ENDED, SESSION_STARTED, Log
from ryelock.membership import Membership, Session
from ryelock.rate_limit import QuotaAllocator, QuotaRequest, is_narrow
from ryelock.replicated_state import MAX_DERIVED_WATCHES, ReplicatedState, vector_from_wire
from ryelock.rpc import Message, Reply
from ryelock.runtime import Queue, Scheduler
from ryelock.settings import Settings

CLOCK_MARGIN = 1.05
FAILED_KEPT = 1000
LACKING_SECONDS = 0.1
CHANGES_KEPT = 1000
HOLD_MOST = 5.0
WORD_OVERHEAD_BYTES = 12
"""What a word costs in an answer besides its data."""
WORDS_BYTES_SMALL = 65_536
"""Words of up to so many bytes are sent without a look at the image's size."""
Node = tuple[str, str]


class EdgeLeases:
    """Terms given by this leader, by node: the place they were given with and their end."""

    __slots__ = ("given", "reached")

    def __init__(self) -> None:
        self.given: dict[Node, list[tuple[int, float]]] = {}
        self.reached: dict[Node, int] = {}

    def give(self, node: Node, index: int, ends: float, now: float) -> None:
        kept = [
            (place, end) for place, end in self.given.get(node, ()) if end > now and place != index
        ]
        self.given[node] = [*kept, (index, ends)]

    def reach(self, node: Node, index: int) -> None:
        self.reached[node] = max(index, self.reached.get(node, 0))

    def behind(self, index: int, now: float) -> list[Node]:
        """Nodes that may still serve without the word at an index."""
        found: list[Node] = []
        for node, given in list(self.given.items()):
            live = [(place, end) for place, end in given if end > now]
            if not live:
                del self.given[node]
                self.reached.pop(node, None)
                continue
            if self.reached.get(node, 0) < index and any(place < index for place, _ in live):
                found.append(node)
        return found


class LeaseRenewals:
    __slots__ = (
        "consensus",
        "divider",
        "epoch",
        "failed",
        "failed_version",
        "known",
        "known_lost",
        "last_edge_snapshot",
        "last_edge_snapshot_index",
        "log",
        "member_changes",
        "members_version",
        "membership",
        "objects",
        "platform",
        "replicated_state",
        "scheduler",
        "settings",
        "source",
        "terms",
        "waiting",
    )

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        log: Log,
        consensus: Consensus,
        replicated_state: ReplicatedState,
        membership: Membership,
        platform: PlatformReader,
        source: str,
    ) -> None:
        self.settings = settings
        self.scheduler = scheduler
        self.log = log
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.membership = membership
        self.platform = platform
        self.source = source
        self.divider = QuotaAllocator()
        self.terms = EdgeLeases()
        self.epoch = 0
        self.members_version = 0
        self.known: dict[str, tuple[object, ...]] = {}
        self.known_lost: set[str] = set()
        self.member_changes: deque[tuple[int, set[str]]] = deque(maxlen=CHANGES_KEPT)
        self.waiting: dict[int, Queue[bool]] = {}
        self.failed: deque[tuple[int, str, bytes]] = deque(maxlen=FAILED_KEPT)
        self.failed_version = 0
        self.last_edge_snapshot = b""
        self.last_edge_snapshot_index = 0
        self.objects: dict[str, tuple[str, str]] = {}

    @property
    def term_length(self) -> float:
        return self.settings.term_seconds * CLOCK_MARGIN

    def tell(self) -> None:
        """There is news: answer those who wait for it."""
        for box in self.waiting.values():
            box.put(True)

    def lead(self) -> None:
        """A new epoch of this node's leading: no account of terms is carried over."""
        if self.epoch != self.consensus.term:
            self.epoch = self.consensus.term
            self.divider = QuotaAllocator()
            self.terms = EdgeLeases()

    def note_members(self) -> int:
        """The version of the members as they are now; what changed with it is kept for a while.

        News of members wakes nobody: they come with the next answer, so that a crowd that joins
        together costs each node a few answers, not one for each other node.
        """
        found: dict[str, tuple[object, ...]] = {
            name: (
                session.incarnation,
                session.zone,
                session.request_address,
                session.rpc_address,
                session.ready,
            )
            for name, session in self.membership.members().items()
        }
        lost = set(self.membership.lost())
        if found != self.known or lost != self.known_lost:
            changed = {
                name for name in {*found, *self.known} if found.get(name) != self.known.get(name)
            }
            self.known, self.known_lost = found, lost
            self.members_version += 1
            self.member_changes.append((self.members_version, changed))
        return self.members_version

    def members_since(self, version: int | None) -> Message:
        """Members for a node: what changed since its version, or all of them."""
        members = self.membership.members()
        found: Message = {
            "source": self.source,
            "version": self.members_version,
            "gone": [lost.to_wire() for lost in self.membership.lost().values()],
        }
        changes = [
            names
            for number, names in self.member_changes
            if version is not None and number > version
        ]
        if version is None or self.members_version - version != len(changes):
            return {**found, "sessions": [member.to_wire() for member in members.values()]}
        names = set().union(*changes)
        return {
            **found,
            "since": version,
            "sessions": [members[name].to_wire() for name in sorted(names) if name in members],
            "removed": sorted(name for name in names if name not in members),
        }

    async def renew(self, message: Message, reply: Reply) -> None:
        """One session's ask, held back a little while there is no news for it."""
        if not self.consensus.settled:
            reply({"ok": False, "leader": self.consensus.leader_address})
            return
        self.lead()
        try:
            session = Session.from_wire(message["session"])
            vector = vector_from_wire(message["vector"])
            sequence = message["sequence"]
            demand, holding = amounts(message["demand"]), amounts(message["holding"])
            wanted = {name: int(count) for name, count in amounts(message["wanted"]).items()}
            hold = float(str(message["hold"]))
            failed = callers_of(message["failed"])
            objects = objects_of(message.get("objects", []))
            if isinstance(sequence, bool) or not isinstance(sequence, int):
                raise ValueError("sequence")
        except (KeyError, TypeError, ValueError) as error:
            reply({"ok": False, "fault": f"malformed: {error!r}"})
            return
        node = (session.name, session.incarnation)
        before = self.membership.sessions.get(session.name)
        if (
            before is not None
            and before.incarnation == session.incarnation
            and sequence <= before.sequence
        ):
            reply({"ok": False, "fault": "an older ask"})
            return
        session.sequence = sequence
        if self.membership.renew(session):
            self.log.write(
                SESSION_STARTED, member=session.name, zone=session.zone, role=session.role
            )
        self.terms.reach(node, vector.get("register", 0))
        self.objects.update(
            (route, place)
            for route, place in objects.items()
            if route in self.replicated_state.derivable
        )
        for caller in failed:
            self.failed_version += 1
            self.failed.append((self.failed_version, session.name, caller))
        self.divider.report_demand(session.name, demand)
        for name in self.replicated_state.configuration.services:
            self.divider.report_queued(
                name, session.name, wanted.get(name, 0), self.scheduler.now()
            )
        until = self.scheduler.now() + min(HOLD_MOST, max(0.0, hold))
        box: Queue[bool] = Queue(self.scheduler)
        self.waiting[id(box)] = box
        try:
            while not self.has_news(vector) and self.scheduler.now() < until:
                soon = min(self.soon(wanted), self.without_share(holding, until - hold))
                if soon <= 0:
                    break
                await box.get(min(soon, until - self.scheduler.now()))
        finally:
            del self.waiting[id(box)]
        if not self.consensus.settled or self.epoch != self.consensus.term:
            reply({"ok": False, "leader": self.consensus.leader_address})
            return
        reply(self.renewal(session, node, vector, holding, wanted))

    def edges(self) -> list[str]:
        return sorted(
            name for name, other in self.membership.sessions.items() if other.role == "edge"
        )

    def fresh(self, now: float) -> bool:
        """Whether all that a leader before this one gave has ended.

        Where edges serve after a lapse nothing ends by itself: there, whether those that are in
        touch had the time to say what they hold.
        """
        return now >= self.consensus.settled_at + self.account_length

    @property
    def account_length(self) -> float:
        if self.settings.serve_lapsed:
            return min(self.term_length, self.settings.settle_seconds)
        return self.term_length

    def soon(self, wanted: dict[str, int]) -> float:
        """Seconds until one of the narrow services that an edge waits for has an order."""
        now = self.scheduler.now()
        if not any(wanted.values()) or not self.fresh(now):
            return 1e9
        services, edges = self.replicated_state.configuration.services, len(self.edges())
        return min(
            (
                self.divider.seconds_until_grant(name, services[name].rate, now)
                for name in wanted
                if name in services
                and services[name].limited
                and is_narrow(services[name].rate, services[name].burst_seconds, edges)
            ),
            default=1e9,
        )

    def without_share(self, holding: dict[str, float], asked: float) -> float:
        """Seconds until an edge that holds nothing of a limited service is answered."""
        services, edges = self.replicated_state.configuration.services, len(self.edges())
        if all(
            held > 0
            or name not in services
            or not services[name].limited
            or is_narrow(services[name].rate, services[name].burst_seconds, edges)
            for name, held in holding.items()
        ):
            return 1e9
        return asked + LACKING_SECONDS - self.scheduler.now()

    def has_news(self, vector: dict[str, int]) -> bool:
        listing = self.platform.believed(self.scheduler.now())
        return (
            vector.get("register", 0) < self.consensus.applied_command_index
            or self.source not in vector
            or (listing is not None and vector.get(self.platform.source) != listing.version)
        )

    def renewal(
        self,
        session: Session,
        node: Node,
        vector: dict[str, int],
        holding: dict[str, float],
        wanted: dict[str, int],
    ) -> Message:
        now = self.scheduler.now()
        age = max(0.0, now - self.consensus.majority_contact_at())
        sure = age < 0.9 * self.consensus.settings.election_timeout
        if not sure:
            return unconfirmed_renewal(vector, age)
        answer: Message = {"ok": True, "age": age, "term": True, **self.words(vector)}
        if session.role == "edge":
            self.terms.give(node, self.consensus.applied_index, now + self.term_length, now)
            edges = self.edges()
            answer["shares"], answer["grants"] = self.shares(session, edges, holding, wanted, now)
            answer["edges"] = max(1, len(edges))
        listing = self.platform.said(vector, now)
        if listing is not None:
            answer["listing"] = listing
        answer["failed"] = {
            "source": f"failed@{self.source}",
            "version": self.failed_version,
            "callers": [
                caller
                for number, edge, caller in self.failed
                if edge != session.name
                and number > vector.get(f"failed@{self.source}", self.failed_version)
            ],
        }
        version = self.note_members()
        if vector.get(self.source) != version:
            answer["members"] = self.members_since(vector.get(self.source))
        return answer

    def words(self, vector: dict[str, int]) -> Message:
        """What brings an edge level with this node: words, or an image where that is smaller."""
        since = vector.get("register", 0)
        words = self.consensus.commands_since(since) if since else None
        if words is None or self.snapshot_is_smaller(words):
            return {"image": self.edge_snapshot(), "index": self.consensus.applied_index}
        return {
            "words": [[index, data] for index, data in words],
            "index": self.consensus.applied_index,
        }

    def snapshot_is_smaller(self, words: list[tuple[int, bytes]]) -> bool:
        """Compared with the last image that was made, which may be a little older."""
        size = sum(len(data) + WORD_OVERHEAD_BYTES for _, data in words)
        if size <= WORDS_BYTES_SMALL:
            return False
        return size > len(self.last_edge_snapshot or self.edge_snapshot())

    def edge_snapshot(self) -> bytes:
        """The register's image for edges, made once for all that ask between two words.

        Notes, which edges are not told of, leave it as it is.
        """
        if (
            self.last_edge_snapshot_index != self.consensus.applied_command_index
            or not self.last_edge_snapshot
        ):
            self.last_edge_snapshot = self.replicated_state.edge_snapshot()
            self.last_edge_snapshot_index = self.consensus.applied_command_index
        return self.last_edge_snapshot

    def shares(
        self,
        session: Session,
        edges: list[str],
        holding: dict[str, float],
        wanted: dict[str, int],
        now: float,
    ) -> tuple[dict[str, float], dict[str, object]]:
        """What an edge may spend: a share of each service, or whole orders of a narrow one."""
        fresh = self.fresh(now)
        ends = now + self.term_length
        shares: dict[str, float] = {}
        grants: dict[str, object] = {}
        for name, service in self.replicated_state.configuration.services.items():
            if not service.limited:
                continue
            request = QuotaRequest(
                service=name,
                rate=service.rate,
                burst_seconds=service.burst_seconds,
                edge=session.name,
                current_share=holding.get(name, 0.0),
                queued=wanted.get(name, 0),
            )
            if is_narrow(service.rate, service.burst_seconds, len(edges)):
                grants[name] = self.divider.grant(request, now, fresh).to_wire()
            else:
                shares[name] = self.divider.share(
                    request, edges, now, ends, fresh, self.settings.serve_lapsed
                )
        return shares, grants

    def leave(self, message: Message, reply: Reply) -> None:
        name, incarnation = str(message.get("name")), str(message.get("incarnation"))
        left = self.membership.leave(name, incarnation)
        if left:
            self.divider.release_edge(name)
            self.terms.given.pop((name, incarnation), None)
            self.note_members()
        reply({"ok": left})

    def lapse(self) -> None:
        for session in self.membership.expire():
            self.divider.remove_edge(session.name)
            self.log.write(SESSION_ENDED, member=session.name, zone=session.zone, role=session.role)
        self.note_members()

    async def settle(self, index: int) -> None:
        """Wait until no edge can still serve without the word at an index.

        Terms given by leaders before this one are not known here, so a whole term must have
        passed since this one was settled. A leader that loses its epoch midway waits a whole
        term instead: what it gave has ended by then, and what its successor gives has the word.
        """
        started = self.scheduler.now()
        epoch = self.consensus.term
        while self.scheduler.now() < started + self.account_length:
            now = self.scheduler.now()
            if (
                self.consensus.role == "leader"
                and self.consensus.term == epoch
                and now >= self.consensus.settled_at + self.account_length
                and not self.terms.behind(index, now)
            ):
                return
            await self.scheduler.sleep(0.01)


def unconfirmed_renewal(vector: dict[str, int], age: float) -> Message:
    """An answer without any state: another leader may already hold a newer one.

    `age` is the age of this leader's last proof of its majority, in seconds.
    """
    index = vector.get("register", 0)
    return {"ok": True, "age": age, "term": False, "words": [], "index": index}


def callers_of(plain: object) -> list[bytes]:
    """Callers who were told of failures, as an edge tells them on; raises ValueError."""
    if not isinstance(plain, list) or len(plain) > FAILED_KEPT:
        raise ValueError("not callers")
    if not all(isinstance(caller, bytes) and len(caller) == 16 for caller in plain):
        raise ValueError("not callers")
    return plain


def objects_of(plain: object) -> dict[str, tuple[str, str]]:
    """Host and target of an object lately served, by route, as an edge tells them."""
    if not isinstance(plain, list) or len(plain) > MAX_DERIVED_WATCHES:
        raise ValueError("not objects")
    found: dict[str, tuple[str, str]] = {}
    for object_told in plain:
        match object_told:
            case [str(route), str(host), str(target)] if len(host) + len(target) < 1000:
                found[route] = (host, target)
            case _:
                raise ValueError("not objects")
    return found


def amounts(plain: object) -> dict[str, float]:
    if not isinstance(plain, dict):
        raise ValueError("not amounts")
    found: dict[str, float] = {}
    for name, value in plain.items():
        if not isinstance(name, str) or isinstance(value, bool):
            raise ValueError("not amounts")
        if not isinstance(value, int | float) or not 0 <= value < 1e9:
            raise ValueError("not amounts")
        found[name] = float(value)
    return found
