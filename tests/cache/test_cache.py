"""The shared cache of RFC 9111: storing, freshness, served responses, and purges."""

import testtools
from clocks import SteppedClock, raise_fault

from ryelock.cache import (
    CacheStore,
    StoredResponse,
    answer_from,
    freshen,
    may_reuse,
    storable_response,
)
from ryelock.http import RequestHead, ResponseHead
from ryelock.replicated_state import Purge, PurgeKind, Route
from ryelock.runtime import Queue, Scheduler

CACHED = Route("/c", "pages", cached=True, lifetime_seconds=10.0)


def request(*fields: tuple[bytes, bytes]) -> RequestHead:
    return RequestHead(b"GET", b"/c/1", 1, [(b"Host", b"a"), *fields])


def stored(
    *fields: tuple[bytes, bytes], asked: RequestHead | None = None, status: int = 200
) -> StoredResponse | None:
    head = ResponseHead(status, b"OK", 1, list(fields))
    return storable_response(
        asked or request(), CACHED, head, list(fields), b"0123456789", 100.0, 100.5
    )


class ResponseTests(testtools.TestCase):
    def test_responses_that_must_not_be_stored(self) -> None:
        control = b"Cache-Control"
        for fields in (
            [(control, b"no-store")],
            [(control, b"private")],
            [(b"Vary", b"*")],
            [(b"Set-Cookie", b"a=b")],
            [(control, b"max-age=0")],
            [(b"Expires", b"0")],
        ):
            self.assertIsNone(stored(*fields), repr(fields))
        self.assertIsNone(stored(asked=request((b"Authorization", b"x"))))
        self.assertIsNotNone(
            stored((control, b"public, max-age=5"), asked=request((b"Authorization", b"x")))
        )
        self.assertIsNone(stored(asked=request((control, b"no-store"))))
        self.assertIsNone(stored(status=500))
        self.assertIsNone(stored(status=206))

    def test_lifetime_is_the_lesser_of_server_and_route(self) -> None:
        for fields, lifetime in (
            ([], 10),
            ([(b"Cache-Control", b"max-age=4")], 4),
            ([(b"Cache-Control", b"max-age=99, s-maxage=3")], 3),
            ([(b"Cache-Control", b"max-age=99")], 10),
            ([(b"Cache-Control", b"max-age=8"), (b"Age", b"5")], 3),
            (
                [
                    (b"Date", b"Tue, 01 Dec 2026 00:00:00 GMT"),
                    (b"Expires", b"Tue, 01 Dec 2026 00:00:06 GMT"),
                ],
                6,
            ),
        ):
            response = stored(*fields)
            assert response is not None
            self.assertTrue(may_reuse(response, CACHED, [], 100.0 + lifetime - 0.1), repr(fields))
            self.assertFalse(may_reuse(response, CACHED, [], 100.0 + lifetime + 0.1), repr(fields))

    def test_cache_control_of_a_request_is_obeyed(self) -> None:
        response = stored((b"ETag", b'"1"'))
        assert response is not None
        for directive, usable in (
            (b"no-cache", False),
            (b"max-age=0", False),
            (b"max-age=5", True),
            (b"min-fresh=20", False),
            (b"max-stale=50", True),
        ):
            fields = [(b"Cache-Control", directive)]
            self.assertEqual(usable, may_reuse(response, CACHED, fields, 101.0), repr(directive))
        self.assertFalse(may_reuse(response, CACHED, [(b"Cache-Control", b"max-stale=50")], 120.0))

    def test_ranges_and_conditions(self) -> None:
        response = stored((b"ETag", b'"1"'), (b"Date", b"Tue, 01 Dec 2026 00:00:00 GMT"))
        assert response is not None
        for request_field, status, body in (
            ((b"Range", b"bytes=0-3"), 206, b"0123"),
            ((b"Range", b"bytes=-2"), 206, b"89"),
            ((b"Range", b"bytes=7-99"), 206, b"789"),
            ((b"Range", b"bytes=20-"), 416, b""),
            ((b"Range", b"bytes=3-1"), 200, b"0123456789"),
            ((b"Range", b"lines=1-2"), 200, b"0123456789"),
            ((b"If-None-Match", b'"0", W/"1"'), 304, b""),
            ((b"If-None-Match", b'"2"'), 200, b"0123456789"),
        ):
            served = answer_from(response, request(request_field), 103.0)
            self.assertEqual((status, body), (served[0], served[3]), repr(request_field))
        fields = dict(answer_from(response, request(), 103.6)[2])
        self.assertEqual(b"3", fields[b"Age"])
        self.assertEqual(b"Tue, 01 Dec 2026 00:00:00 GMT", fields[b"Date"])

    def test_304_updates_fields_and_lifetime(self) -> None:
        before = stored((b"ETag", b'"1"'), (b"Cache-Control", b"max-age=4"), (b"X-Kept", b"a"))
        assert before is not None
        head = ResponseHead(304, b"", 1, [(b"Cache-Control", b"max-age=2"), (b"Age", b"1")])
        after = freshen(before, head, 110.0, 110.5)
        self.assertEqual((200, b"0123456789", 2.0), (after.status, after.body, after.lifetime))
        self.assertEqual(
            {b"ETag": b'"1"', b"X-Kept": b"a", b"Cache-Control": b"max-age=2"}, dict(after.fields)
        )
        self.assertEqual(1.5, after.age(110.5))


KEY = ("covers", "site", "/c/1?a")


class StoreTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = CacheStore(10_000, b"Labels")
        self.waiting: Queue[StoredResponse | None] = Queue(Scheduler(SteppedClock(), raise_fault))

    def response(self, *fields: tuple[bytes, bytes]) -> StoredResponse:
        response = stored(*fields)
        assert response is not None
        return response

    def test_a_purge_removes_matching_responses(self) -> None:
        for number, (kind, host, text, removed) in enumerate(
            (
                (PurgeKind.ROUTE, "", "covers", 1),
                (PurgeKind.ROUTE, "", "pages", 0),
                (PurgeKind.PREFIX, "", "/c/", 1),
                (PurgeKind.PATH, "site", "/c/1", 1),
                (PurgeKind.PATH, "elsewhere", "/c/1", 0),
                (PurgeKind.LABEL, "", "red", 1),
                (PurgeKind.LABEL, "", "re", 0),
            ),
            1,
        ):
            self.store.add(KEY, self.response((b"Labels", b"blue red")))
            purge = Purge(number, kind, host, text)
            self.assertEqual(removed, self.store.apply_purges([purge], number), repr(purge))

    def test_a_missing_purge_removes_everything(self) -> None:
        self.store.add(KEY, self.response())
        purge = Purge(3, PurgeKind.PATH, "", "/elsewhere")
        self.assertEqual(1, self.store.apply_purges([purge], 3))

    def test_a_purged_fill_is_not_served_to_waiting_requests(self) -> None:
        fill = self.store.begin_fill(KEY)
        fill.waiting.append(self.waiting)
        self.store.apply_purges([Purge(1, PurgeKind.ROUTE, "", "covers")], 1)
        self.store.end_fill(fill, self.response())
        self.assertEqual([None], list(self.waiting.items))
        self.assertIsNone(self.store.find(KEY, []))

    def test_labels_are_matched_once_the_response_is_received(self) -> None:
        fill = self.store.begin_fill(KEY)
        self.store.apply_purges([Purge(1, PurgeKind.LABEL, "", "red")], 1)
        self.assertFalse(fill.invalidated)
        self.assertTrue(self.store.is_purged_since(0, KEY, self.response((b"Labels", b"red"))))
        self.assertFalse(self.store.is_purged_since(0, KEY, self.response()))
        self.assertFalse(self.store.is_purged_since(1, KEY, self.response((b"Labels", b"red"))))

    def test_responses_and_fills_of_changed_routes_are_discarded(self) -> None:
        self.store.add(KEY, self.response())
        fill = self.store.begin_fill(KEY)
        fill.waiting.append(self.waiting)
        self.store.invalidate_routes({"covers"})
        self.store.end_fill(fill, self.response())
        self.assertIsNone(self.store.find(KEY, []))

    def test_variants_of_one_key_are_stored_together(self) -> None:
        for language in (b"de", b"en"):
            asked = request((b"Accept-Language", language))
            response = stored((b"Vary", b"Accept-Language"), asked=asked)
            assert response is not None
            self.store.add(KEY, response)
        found = self.store.find(KEY, [(b"Accept-Language", b"de")])
        assert found is not None
        self.assertEqual(((b"accept-language", b"de"),), found.vary)
        self.assertIsNone(self.store.find(KEY, [(b"Accept-Language", b"fr")]))
