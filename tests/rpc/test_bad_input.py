"""Malformed input, a full disk and a damaged journal are detected and do not crash the process."""

from typing import Any

import cbor2
import testtools

from ryelock.events import (
    FRAME_REJECTED,
    JOURNAL_DAMAGED,
    JOURNAL_FULL,
    SERVER_LIST_REJECTED,
    SERVER_LIST_UNAVAILABLE,
)
from ryelock.rpc import HANDSHAKE, encode_frame
from ryelock.runtime import Connection
from ryelock.testing.scenario import Scenario

MALFORMED_CALLS: tuple[dict[str, Any], ...] = (
    {"kind": "renew"},
    {"kind": "renew", "session": 3, "vector": {}, "sequence": 1},
    {
        "kind": "renew",
        "session": {"name": "x", "role": "king"},
        "vector": {"a": -1},
        "sequence": 1,
        "demand": {},
        "holding": {},
        "hold": 0.1,
    },
    {"kind": "council.beat"},
    {"kind": "council.vote", "epoch": "high"},
    {"kind": "council.image", "to": 1, "epoch": 10**9},
    {"kind": "council.promise"},
    {"kind": "rows", "rows": [[1, 2]]},
    {"kind": "decision", "verdict": 7},
    {"kind": "leave"},
    {"kind": "claim"},
    {"kind": "claim", "key": 3, "order": "x"},
    {"kind": "release", "key": b"", "order": "x"},
    {
        "kind": "renew",
        "session": {"name": "x", "role": "edge"},
        "vector": {},
        "sequence": 1,
        "demand": {},
        "holding": {},
        "hold": 0.1,
        "wanted": {},
        "failed": [b"short"],
    },
    {"kind": "operator", "what": "change", "given": [1]},
    {"kind": "nothing"},
    {},
)


class BadInputTests(testtools.TestCase):
    def events(self, scenario: Scenario, name: str) -> list[int]:
        return [number for number, _ in scenario.node(name).log.records]

    def state(self, scenario: Scenario, name: str) -> list[object]:
        core = scenario.node(name).core
        return [
            core.replicated_state.version,
            core.replicated_state.configuration.to_wire(),
            core.replicated_state.drains,
            core.replicated_state.purge_number,
            core.consensus.term,
            sorted(core.consensus.voters),
            sorted(core.membership.members()),
            {key: duty.to_wire() for key, duty in core.replicated_state.singletons.items()},
        ]

    def test_malformed_frames_and_calls_change_nothing(self) -> None:
        scenario = Scenario(1)
        scenario.set_up()
        scenario.world.run(2)
        leader = scenario.leader()
        before = self.state(scenario, leader)
        malformed_calls = HANDSHAKE + b"".join(
            encode_frame({**call, "ask": number}) for number, call in enumerate(MALFORMED_CALLS)
        )
        unknown_version = encode_frame({"protocol": "ryelock", "version": 99})
        for payload in (
            malformed_calls,
            unknown_version,
            b"GET / HTTP/1.1\r\n\r\n",
            b"\xff" * 64,
            HANDSHAKE + encode_frame({"kind": "council.who"}),
            HANDSHAKE + b"\x00\x00\x00\x02" + cbor2.dumps([1]),
        ):

            async def send(payload: bytes = payload) -> None:
                connection = scenario.operators.network.connect(f"{scenario.node(leader).host}:1")
                await connection.wait_connected(1.0)
                connection.write(payload)
                await scenario.operators.scheduler.sleep(0.5)
                connection.close()

            scenario.world.task(scenario.operators, send(), 5)
        scenario.world.run(3)
        self.assertEqual(before, self.state(scenario, leader))
        self.assertEqual(5, self.events(scenario, leader).count(FRAME_REJECTED.number))
        self.assertEqual([], scenario.world.faults)
        self.assertEqual(leader, scenario.leader())

    def test_a_full_disk_stops_acknowledging_and_logs_it(self) -> None:
        scenario = Scenario(2)
        scenario.set_up()
        scenario.world.run(2)
        leader = scenario.leader()
        folders = {name: scenario.node(name).folder for name in scenario.cores}
        for folder in folders.values():
            assert folder is not None
            folder.full = True
        found = scenario.world.task(
            scenario.operators,
            scenario.change(
                "gen-full",
                1,
                {"routes": {"gen-full": {"path": "/gen-full", "service": "pages"}}},
                "/gen-full",
                leader,
            ),
            30,
        )
        self.assertIn(found.status, (503, 504))
        self.assertIn(JOURNAL_FULL.number, self.events(scenario, leader))
        for folder in folders.values():
            assert folder is not None
            folder.full = False
        self.assertTrue(scenario.world.run_until(lambda: bool(scenario.leader()), 15))
        found = scenario.world.task(
            scenario.operators,
            scenario.change(
                "gen-room",
                1,
                {"routes": {"gen-room": {"path": "/gen-room", "service": "pages"}}},
                "/gen-room",
            ),
            30,
        )
        self.assertEqual(200, found.status)
        self.assertEqual([], scenario.findings().violations)

    def test_a_node_with_a_damaged_journal_rejoins_under_a_new_disk_id(self) -> None:
        scenario = Scenario(3)
        scenario.set_up()
        scenario.world.run(2)
        name = next(name for name in scenario.cores if name != scenario.leader())
        before = scenario.node(name).core.consensus.disk
        scenario.world.kill(name)
        folder = scenario.node(name).folder
        assert folder is not None
        data = folder.files["segment-0000000000"]
        data[14] ^= 255
        scenario.start(name)
        self.assertIn(JOURNAL_DAMAGED.number, self.events(scenario, name))
        consensus = scenario.node(name).core.consensus
        self.assertNotEqual(before, consensus.disk)
        self.assertTrue(scenario.world.run_until(lambda: consensus.disk in consensus.voters, 20))
        self.assertEqual(1, scenario.node(name).core.replicated_state.version)
        self.assertTrue(any(file.startswith("damaged-") for file in folder.names()))

    def test_a_malformed_server_list_changes_nothing(self) -> None:
        scenario = Scenario(4)
        scenario.set_up()
        scenario.platform.servers["bad"] = {"service": "pages", "address": "nowhere"}
        scenario.world.run(1)
        leader = scenario.leader()
        self.assertIn(SERVER_LIST_REJECTED.number, self.events(scenario, leader))
        listing = scenario.node(leader).core.platform.server_list
        assert listing is not None
        self.assertEqual(8, len(listing.servers))
        self.assertEqual([], scenario.world.faults)

    def test_a_flapping_server_list_causes_no_violations(self) -> None:
        scenario = Scenario(5)
        scenario.set_up()
        scenario.start_callers(12, 4.0, 0)
        server = next(iter(scenario.servers.values()))
        for turn in range(30):
            scenario.platform.show(server.service, server.address, "zone0", 1, turn % 2 == 0)
            scenario.world.run(0.25)
        scenario.platform.show(server.service, server.address, "zone0", 1, True)
        scenario.world.run(6)
        self.assertEqual([], scenario.findings().violations)

    def listen_endless(self, scenario: Scenario, address: str, part: bytes, pause: float) -> None:
        """Listen at an address; send each connection a response head that never ends."""
        node = scenario.platform_node

        def accept(connection: Connection) -> None:
            async def send() -> None:
                connection.write(b"HTTP/1.1 200 OK\r\nX: ")
                while not connection.closed:
                    connection.write(part)
                    await node.scheduler.sleep(pause)

            node.scheduler.create_task(send(), name="endless response")

        node.network.listen(address, accept)

    def test_requests_succeed_despite_a_server_with_an_endless_head(self) -> None:
        scenario = Scenario(6)
        scenario.set_up()
        self.listen_endless(scenario, "10.9.0.3:99", b"a" * 2000, 0.001)
        scenario.platform.show("pages", "10.9.0.3:99", "zone0", 1)
        scenario.start_callers(12, 4.0, 0)
        scenario.world.run(10)
        records = [
            record
            for record in scenario.request_records
            if record.target.startswith("/plain/") and record.ending
        ]
        self.assertGreater(len(records), 20)
        self.assertGreater(sum(record.status == 200 for record in records), 0.9 * len(records))
        self.assertEqual([], scenario.findings().violations)

    def test_a_platform_that_responds_byte_by_byte_times_out(self) -> None:
        scenario = Scenario(7)
        scenario.set_up()
        scenario.platform.listener.stop_accepting()
        for connection in list(scenario.platform.listener.connections):
            connection.abort()
        self.listen_endless(scenario, scenario.platform.address, b"a", 0.2)
        scenario.world.run(4)
        leader = scenario.leader()
        self.assertIn(SERVER_LIST_UNAVAILABLE.number, self.events(scenario, leader))
        self.assertIsNone(
            scenario.node(leader).core.platform.current_list(scenario.node(leader).scheduler.now())
        )
        self.assertEqual([], scenario.world.faults)
