"""HTTP client and server: bytes are preserved, ambiguous framing and truncation are rejected."""

from typing import Any

import testtools

from ryelock.http import (
    FramingError,
    HttpExchange,
    HttpServer,
    Limits,
    Reader,
    content_length,
    end_to_end,
    is_chunked,
    parse_request_head,
    parse_response_head,
    read_response,
)
from ryelock.testing.simulated import World

BAD_HEADS = (
    b"GET  / HTTP/1.1\r\nHost: a",
    b"GET / HTTP/1.1\r\n Host: a",
    b"GET /\r\nHost: a",
    b"GET / HTTP/1.1\r\nHost : a",
    b"GET / HTTP/1.1\r\nHost: a\r\n folded",
    b"G\tT / HTTP/1.1",
    b"GET / HTTP/1.1\r\nHost: a\nX: b",
    b"GET / HTTP/1.1\r\nHost: a\r\nX: b\x00c",
    b"GET / HTTP/1.1\r\nHost: a\r\nHost: b",
    b"GET / HTTP/1.1",
    b"GET / HTTP/2.0\r\nHost: a",
    b"GET nowhere HTTP/1.1\r\nHost: a",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a",
    b"GET / HTTP/1.1\r\nHost: a\r\n: b",
    b"GET /a b HTTP/1.1\r\nHost: a",
    b"GET /\x7f HTTP/1.1\r\nHost: a",
    b"GET / HTTP/1.1\r\nHost: a\r\nX: \rb",
)
BAD_FRAMING = (
    [(b"Content-Length", b"1"), (b"Content-Length", b"2")],
    [(b"Content-Length", b"+1")],
    [(b"Content-Length", b"1"), (b"Transfer-Encoding", b"chunked")],
    [(b"Content-Length", b"1, 2")],
    [(b"Content-Length", b"")],
    [(b"Content-Length", b"0x1")],
    [(b"Transfer-Encoding", b"gzip, chunked")],
    [(b"Transfer-Encoding", b"chunked, chunked")],
    [(b"Transfer-Encoding", b"xchunked")],
    [(b"Transfer-Encoding", b"")],
)


CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class HeadTests(testtools.TestCase):
    def test_malformed_heads_are_rejected(self) -> None:
        for head in BAD_HEADS:
            self.assertRaises(FramingError, parse_request_head, head)

    def test_ambiguous_lengths_are_rejected(self) -> None:
        for fields in BAD_FRAMING:

            def framing(fields: Any = fields) -> None:
                is_chunked(fields, 1)
                content_length(fields)

            self.assertRaises(FramingError, framing)

    def test_heads_are_preserved_byte_for_byte(self) -> None:
        value = b'a\\n \\x41 \xff "quoted"'
        head = parse_request_head(b"PURGE /%7Ea//b?x=%0a&&y HTTP/1.1\r\nHost: a\r\nX-Odd: " + value)
        self.assertEqual((b"PURGE", b"/%7Ea//b?x=%0a&&y"), (head.method, head.target))
        self.assertEqual((b"X-Odd", value), head.fields[1])
        response = parse_response_head(b"HTTP/1.1 203 Non-Authoritative Information\r\nA: b")
        self.assertEqual(b"Non-Authoritative Information", response.reason)

    def test_hop_by_hop_fields_are_not_forwarded(self) -> None:
        fields = [
            (b"Connection", b"close, X-Mine, Host"),
            (b"X-Mine", b"1"),
            (b"Host", b"a"),
            (b"TE", b"trailers"),
            (b"Content-Length", b"4"),
            (b"X-Kept", b"2"),
        ]
        self.assertEqual([(b"Host", b"a"), (b"X-Kept", b"2")], end_to_end(fields))


class ServerTests(testtools.TestCase):
    """A server in the simulator that receives raw bytes."""

    def setUp(self) -> None:
        super().setUp()
        self.world = World(1)
        self.server = self.world.add("server", "server", "10.0.0.1")
        self.client = self.world.add("client", "client", "10.0.0.2")
        self.handled: list[tuple[bytes, bytes]] = []
        self.listener = HttpServer(
            self.server.scheduler,
            self.server.network,
            self.server.log,
            "10.0.0.1:80",
            Limits(2048, 1000, 3, 5.0, 5.0),
            self.serve,
        )

    async def serve(self, exchange: HttpExchange) -> None:
        body = await exchange.read_body()
        self.handled.append((exchange.head.target, body))
        await exchange.respond(200, [], b"<" + body + b">")

    def send(self, *parts: bytes, seconds: float = 8.0) -> bytes:
        """Send parts of requests one after the other; return all received bytes."""

        async def exchange() -> bytes:
            connection = self.client.network.connect("10.0.0.1:80")
            await connection.wait_connected(1.0)
            for part in parts:
                connection.write(part)
                await self.client.scheduler.sleep(0.05)
            received = b""
            deadline = self.client.scheduler.now() + seconds
            while True:
                data = await connection.receive(deadline - self.client.scheduler.now())
                if not data:
                    return received
                received += data

        return self.world.task(self.client, exchange(), seconds + 5)

    def test_pipelined_requests_are_answered_in_turn(self) -> None:
        one = b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
        two = CHUNKED.replace(b"/", b"/2", 1) + b"2\r\ncd\r\n0\r\n\r\n"
        three = b"GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        requests = one + two + three
        for split in (len(requests), 1, 40, 60, 75, 140, 150):
            self.handled.clear()
            responses = self.send(requests[:split], requests[split:])
            self.assertEqual([(b"/1", b"ab"), (b"/2", b"cd"), (b"/3", b"")], self.handled)
            self.assertEqual(3, responses.count(b"HTTP/1.1 200"))

    def test_malformed_requests_are_answered_and_the_server_goes_on(self) -> None:
        for bad, status in (
            (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 3000 + b"\r\n\r\n", b"431"),
            (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", b"413"),
            (CHUNKED + b"zz\r\n", b"400"),
            (CHUNKED + b"1\r\nabc\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nHost: a\r\nExpect: tea\r\n\r\n", b"417"),
            (b"\x16\x03\x01\x00\x00\x00\r\n\r\n", b"400"),
        ):
            response = self.send(bad)
            self.assertEqual(b"HTTP/1.1 " + status, response[:12], repr(bad))
            self.assertIn(b"Connection: close", response)
        self.assertEqual([], self.handled)
        self.assertIn(b"200", self.send(b"GET /x HTTP/1.0\r\n\r\n"))

    def test_a_request_cut_in_its_body_is_not_served(self) -> None:
        self.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", seconds=0.5)
        self.world.run(10)
        self.assertEqual([], self.handled)
        self.assertEqual({}, self.listener.connections)

    def test_a_request_that_takes_too_long_gets_408(self) -> None:
        response = self.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc")
        self.assertEqual(b"HTTP/1.1 408", response[:12])
        self.assertEqual(b"", self.send(b"", seconds=7.0))

    def test_an_expectation_gets_100_continue(self) -> None:
        response = self.send(
            b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
            b"Content-Length: 2\r\nConnection: close\r\n\r\n",
            b"ab",
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"))

    def test_connections_above_the_limit_get_503_at_once(self) -> None:
        for _ in range(3):
            self.client.network.connect("10.0.0.1:80")
        self.world.run(0.5)
        self.assertIn(b"503", self.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", seconds=1.0))

    def test_a_response_without_a_provable_end_is_rejected(self) -> None:
        for response, body in (
            (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", b"abc"),
            (b"HTTP/1.1 200 OK\r\n\r\nabc", None),
            (b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", b"a"),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", b"abc"),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", None),
            (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
            (b"HTTP/1.1 101 Switching\r\n\r\n", None),
        ):
            connection = self.client.network.connect("10.0.0.1:80")
            reader = Reader(self.client.scheduler, connection)
            reader.buffer += response

            async def read(reader: Reader = reader) -> bytes | None:
                result = await read_response(reader, b"GET", 1000, reader.scheduler.now() + 1)
                if result.is_error():
                    return None
                return await result.ok.body.read_all(100, reader.scheduler.now() + 1)

            self.assertEqual(body, self.world.task(self.client, read(), 5), repr(response))
