"""The platform's settings file: what is taken of it, and every fault that is told at once."""

import tempfile
from pathlib import Path

import testtools

import deployment
import settings
from ryelock.settings import Settings, SettingsError

THREE = {"a": "north", "b": "north", "c": "south"}
SEEDS = ["10.1.0.1:8146", "10.2.0.1:8146", "10.3.0.1:8146"]


def lines(
    zones: dict[str, str] | None = None, seeds: list[str] | None = None, **changed: str
) -> dict[str, str]:
    zones = zones or THREE
    found = deployment.lines_for(
        "edge-a-0", "10.1.0.1", next(iter(zones)), zones, seeds or SEEDS, "edge,control_plane"
    )
    return {**found, **{key.replace("__", "."): value for key, value in changed.items()}}


def env_of(role: str, plain: dict[str, str]) -> Settings:
    return settings.translate_settings(role, settings.NodeSettings(plain))


class SettingsTests(testtools.TestCase):
    def faults(self, role: str, plain: dict[str, str]) -> list[str]:
        return self.assertRaises(SettingsError, env_of, role, plain).faults

    def test_a_file_as_the_platform_writes_it_is_taken(self) -> None:
        text = "".join(f"{key}={value}\n" for key, value in lines().items())
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.conf"
            path.write_text("# a remark\n\nno equals here\n" + text)
            told = settings.read_node_settings(str(path))
            core, edge = (
                settings.translate_settings("core", told),
                settings.translate_settings("edge", told),
            )
            path.write_bytes(b"zone=\xff\xfe")
            self.assertRaises(SettingsError, settings.read_node_settings, str(path))
            self.assertRaises(SettingsError, settings.read_node_settings, str(path / "none"))
        self.assertEqual(("edge-a-0.core", "edge-a-0", "a"), (core.name, core.machine, core.zone))
        self.assertEqual(
            ("10.1.0.1:8144", "/data/my-role", "10.200.0.4:8142"),
            (edge.order_address, core.data_folder, core.platform_address),
        )
        self.assertEqual(THREE, core.regions)
        self.assertTrue(core.may_found)
        self.assertTrue(edge.serve_lapsed)

    def test_the_processes_of_one_machine_have_ports_of_their_own_in_the_range(self) -> None:
        core, edge = env_of("core", lines()), env_of("edge", lines())
        ports = [
            int(address.rpartition(":")[2])
            for settings in (core, edge)
            for address in (settings.wire_address, settings.control_address)
        ]
        self.assertEqual(4, len(set(ports)))
        self.assertTrue(all(7660 <= port <= 7675 for port in ports), ports)
        for found in (core, edge):
            self.assertEqual(
                tuple(f"10.{number}.0.1:{ports[0]}" for number in (1, 2, 3)), found.seeds
            )

    def test_only_a_first_start_may_found(self) -> None:
        self.assertFalse(env_of("core", lines(first_start="false")).may_found)

    def test_a_control_node_without_a_disk_is_told_no_folder(self) -> None:
        plain = lines()
        del plain["data_directory"]
        self.assertIn("data_directory", " ".join(self.faults("core", plain)))
        del plain["limits.disk_mb"]
        self.assertEqual("", env_of("core", plain).data_folder)
        self.assertEqual("/data/my-role", env_of("core", lines()).data_folder)

    def test_every_fault_is_told_at_once(self) -> None:
        plain = lines(
            internal_port_range="7660",
            bounds=deployment.BOUNDS.replace("contact_ms=4000", "contact_ms=soon").replace(
                ",drain_limit_ms=2500", ""
            ),
        )
        del plain["zone"]
        del plain["ip_address"]
        del plain["first_start"]
        plain["cloud_api.beat_lag_ms"] = "late"
        told = " ".join(self.faults("core", plain))
        for key in (
            "zone",
            "first_start",
            "ip_address",
            "internal_port_range",
            "contact_ms",
            "drain_limit_ms",
            "beat_lag_ms",
        ):
            self.assertIn(key, told)

    def test_a_bound_that_a_rule_in_force_rests_on_has_no_default(self) -> None:
        for part, names in settings.REQUIRED_BOUNDS.items():
            for name in names:
                bounds = ",".join(
                    pair for pair in deployment.BOUNDS.split(",") if not pair.startswith(f"{name}=")
                )
                for role in ("core", "edge"):
                    found = self.faults(role, lines(bounds=bounds, contract_parts=part))
                    self.assertIn(name, " ".join(found), role)

    def test_a_bound_of_a_part_that_is_not_in_force_may_be_missing(self) -> None:
        bounds = "contact_ms=4000,grace_period_s=6"
        for role in ("core", "edge"):
            self.assertEqual("a", env_of(role, lines(bounds=bounds, contract_parts="base")).zone)
            found = self.faults(role, lines(bounds=bounds, contract_parts="base,cache"))
            self.assertEqual(
                {"purge_limit_ms", "staleness_slack_s", "ceiling_window_s"},
                {fault.split(": ")[1] for fault in found},
            )

    def test_what_is_not_known_is_passed_over(self) -> None:
        plain = lines(
            moon__phase="full",
            bounds=deployment.BOUNDS + ",moon_s=4,tide=true",
            contract_parts="base,tides",
        )
        for role in ("core", "edge"):
            self.assertEqual(env_of(role, lines()).values, env_of(role, plain).values)

    def test_bounds_may_be_whole_broken_true_or_false(self) -> None:
        told = settings.NodeSettings({"bounds": "a=3, b=0.25,c=true,d=false,"})
        self.assertEqual({"a": 3.0, "b": 0.25, "c": 1.0, "d": 0.0}, told.bounds)
        self.assertEqual([], told.faults)
        self.assertTrue(settings.NodeSettings({"bounds": "a"}).faults)
        self.assertTrue(settings.NodeSettings({"bounds": "a="}).faults)

    def test_one_zone_two_zones_three_regions_and_five_zones_are_taken(self) -> None:
        one = {"a": "north"}
        two = {"a": "north", "b": "north"}
        regions = {"a": "north", "b": "south", "c": "west"}
        five = {zone: "north" if zone in "ab" else "south" for zone in "abcde"}
        for zones, seeds in ((one, SEEDS), (two, SEEDS), (regions, SEEDS), (five, SEEDS)):
            for role in ("core", "edge"):
                settings = env_of(role, lines(zones, seeds))
                self.assertEqual(zones, settings.regions)

    def test_fewer_seeds_where_fewer_nodes_are_control_nodes(self) -> None:
        for count in (1, 2):
            for role in ("core", "edge"):
                settings = env_of(role, lines({"a": "north"}, SEEDS[:count]))
                self.assertEqual(count, len(set(settings.seeds)))

    def test_a_range_without_room_for_all_ports_is_a_fault(self) -> None:
        for given in ("7660,7662", "7660,7660", "7675,7660", "", "7660", "7660,7665,7675", "a,b"):
            for role in ("core", "edge"):
                found = self.faults(role, lines(internal_port_range=given))
                self.assertIn("internal_port_range", " ".join(found), given)
        env_of("core", lines(internal_port_range="7660,7663"))

    def test_a_lists_rate_is_kept_to_also_where_it_is_low(self) -> None:
        for rate in ("0.5", "1", "4", "52.0"):
            settings = env_of("core", lines(cloud_api__rate_per_s=rate))
            self.assertLessEqual(1.0 / settings.listing_seconds, float(rate))

    def test_faults_stand_once_each(self) -> None:
        plain = lines(internal_port_range="7660,7661")
        found = self.faults("edge", plain)
        self.assertEqual(sorted(set(found)), sorted(found))
