"""A scale run in small: judged by counts of sessions, words and images, never by times."""

import json
import os
import socket
import tempfile
from pathlib import Path

import testtools

from ryelock.testing.processes.accounts import Account, Spent, read_traffic
from ryelock.testing.scale import Point, Size, growth, measure_judging, plot, run_scale, table
from ryelock.testing.scale.pieces import measure_configuration, measure_purge, measure_sessions

NODES, CHANGES = 8, 2


class ScaleTests(testtools.TestCase):
    def test_every_hollow_node_joins_follows_and_comes_back(self) -> None:
        folder = Path(tempfile.mkdtemp())
        fixed = Size(1, 1, 1, 1, processes=2, seconds=1.0, changes=CHANGES, restarts=1, flood=10.0)
        sizes = {"nodes": [NODES], "zones": [2], "servers": [4], "routes": [3]}
        (point,) = run_scale(sizes, fixed, 1, str(folder / "scale.json"))
        self.assertEqual([], point.faults)
        (figures,) = point.runs
        for name in (
            "join sessions",
            "zone back sessions",
            "leader lost sessions",
            "all lost sessions",
        ):
            self.assertEqual(NODES, figures[name], name)
        self.assertEqual(NODES, figures["join images"])
        for kind in ("change", "purge"):
            self.assertEqual(CHANGES, figures[f"{kind}s acknowledged"])
            self.assertEqual(CHANGES * NODES, figures[f"{kind}s reached"])
        self.assertEqual(NODES // 2, figures["zone lost: nodes"])
        self.assertEqual(NODES // 2, figures["zone lost: others who know"])
        self.assertEqual(NODES // 2, figures["zone back images"])
        self.assertEqual(30, figures["flood purges at all nodes"])
        self.assertGreater(figures["leader descriptors"], NODES)
        self.assertGreater(figures["hollow node asks/s"], 0)
        (asks,) = [note["leader lost asks"] for note in point.notes]
        self.assertGreaterEqual(asks["council.who"], NODES)  # type: ignore[index]
        written = json.loads((folder / "scale.json").read_text())
        self.assertEqual(figures, written["points"][0]["runs"][0])

    def test_judging_counts_every_target(self) -> None:
        small, large = measure_judging(4, 2, 10), measure_judging(16, 2, 10)
        self.assertEqual(set(small), set(large))
        self.assertGreater(large["judging: verdict KB"], small["judging: verdict KB"])


class PieceTests(testtools.TestCase):
    def test_what_is_told_of_sessions_grows_in_step_with_them(self) -> None:
        small, large = measure_sessions(10, 2), measure_sessions(100, 2)
        for name in (
            "leader: KB of sessions to a follower, each beat",
            "leader: KB of members to one node",
        ):
            self.assertAlmostEqual(10.0, large[name] / small[name], 0, name)

    def test_images_and_listings_grow_with_routes_and_servers(self) -> None:
        small, large = measure_configuration(10, 10), measure_configuration(100, 100)
        self.assertAlmostEqual(
            10.0, large["KB of listing to one node"] / small["KB of listing to one node"], 0
        )
        self.assertGreater(large["KB of image"], 5 * small["KB of image"])
        self.assertEqual(["edge: ms of a purge at 10 copies"], list(measure_purge(10)))


class TableTests(testtools.TestCase):
    def test_a_square_has_the_exponent_two(self) -> None:
        points = [Point(f"{nodes} nodes", Size(nodes, 1, 1, 1)) for nodes in (10, 40)]
        for point in points:
            point.runs = [
                {"work": float(point.size.nodes**2), "still": 3.0},
                {"work": float(point.size.nodes**2), "still": 3.0},
            ]
        self.assertAlmostEqual(2.0, growth(points[0], points[1], "work", "nodes") or 0.0)
        self.assertIn("| work | 100 | 1.6e+03 | 2.00 |", table(points, "nodes"))
        self.assertIn("| still | 3 | 3 | 0.00 |", table(points, "nodes"))
        folder = Path(tempfile.mkdtemp())
        plot(points, "nodes", folder)
        self.assertEqual(
            ["nodes-still.png", "nodes-work.png"], sorted(file.name for file in folder.iterdir())
        )


class AccountTests(testtools.TestCase):
    def test_bytes_between_two_sockets_are_counted_on_both(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = socket.create_connection(listener.getsockname())
            far, _ = listener.accept()
            with near, far:
                before = Account(os.getpid(), read_traffic())
                near.sendall(b"x" * 5000)
                left = 5000
                while left:
                    left -= len(far.recv(left))
                far.sendall(b"y" * 7)
                self.assertEqual(b"y" * 7, near.recv(7))
                after = Account(os.getpid(), read_traffic())
                numbers = [os.fstat(one.fileno()).st_ino for one in (near, far)]
                into = [after.sockets[number][0] - before.sockets[number][0] for number in numbers]
                self.assertEqual([7, 5000], into)
        self.assertGreaterEqual(Spent(before, after).bytes_in, 5007)
