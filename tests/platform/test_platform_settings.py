"""Translation of the platform's settings file, and its faults."""

import tempfile
from pathlib import Path

import testtools

import deployment
import settings
from ryelock.settings import Settings, SettingsError

THREE_ZONES = {"a": "north", "b": "north", "c": "south"}
SEEDS = ["10.1.0.1:8146", "10.2.0.1:8146", "10.3.0.1:8146"]


def lines(
    zones: dict[str, str] | None = None, seeds: list[str] | None = None, **changed: str
) -> dict[str, str]:
    """Return the values of a settings file; in `changed`, `__` stands for a dot."""
    zones = zones or THREE_ZONES
    values = deployment.settings_lines(
        "edge-a-0", "10.1.0.1", next(iter(zones)), zones, seeds or SEEDS, "edge,control_plane"
    )
    return {**values, **{key.replace("__", "."): value for key, value in changed.items()}}


def translate(role: str, values: dict[str, str]) -> Settings:
    return settings.translate_settings(role, settings.NodeSettings(values))


class SettingsTests(testtools.TestCase):
    def faults(self, role: str, values: dict[str, str]) -> list[str]:
        return self.assertRaises(SettingsError, translate, role, values).faults

    def test_a_settings_file_of_the_platform_is_accepted(self) -> None:
        text = "".join(f"{key}={value}\n" for key, value in lines().items())
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.conf"
            path.write_text("# a remark\n\nno equals here\n" + text)
            node_settings = settings.read_node_settings(str(path))
            core, edge = (
                settings.translate_settings("core", node_settings),
                settings.translate_settings("edge", node_settings),
            )
            path.write_bytes(b"zone=\xff\xfe")
            self.assertRaises(SettingsError, settings.read_node_settings, str(path))
            self.assertRaises(SettingsError, settings.read_node_settings, str(path / "none"))
        self.assertEqual(("edge-a-0.core", "edge-a-0", "a"), (core.name, core.machine, core.zone))
        self.assertEqual(
            ("10.1.0.1:8144", "/data/my-role", "10.200.0.4:8142"),
            (edge.order_address, core.data_folder, core.platform_address),
        )
        self.assertEqual(THREE_ZONES, core.regions)
        self.assertTrue(core.may_found)
        self.assertTrue(edge.serve_lapsed)

    def test_the_processes_of_a_machine_use_different_ports_of_the_range(self) -> None:
        core, edge = translate("core", lines()), translate("edge", lines())
        ports = [
            int(address.rpartition(":")[2])
            for settings in (core, edge)
            for address in (settings.wire_address, settings.control_address)
        ]
        self.assertEqual(4, len(set(ports)))
        self.assertTrue(all(7660 <= port <= 7675 for port in ports), ports)
        for process in (core, edge):
            self.assertEqual(
                tuple(f"10.{number}.0.1:{ports[0]}" for number in (1, 2, 3)), process.seeds
            )

    def test_only_a_first_start_may_bootstrap(self) -> None:
        self.assertFalse(translate("core", lines(first_start="false")).may_found)

    def test_a_control_node_without_a_disk_has_no_data_folder(self) -> None:
        values = lines()
        del values["data_directory"]
        self.assertIn("data_directory", " ".join(self.faults("core", values)))
        del values["limits.disk_mb"]
        self.assertEqual("", translate("core", values).data_folder)
        self.assertEqual("/data/my-role", translate("core", lines()).data_folder)

    def test_all_faults_are_reported_together(self) -> None:
        values = lines(
            internal_port_range="7660",
            bounds=deployment.BOUNDS.replace("contact_ms=4000", "contact_ms=soon").replace(
                ",drain_limit_ms=2500", ""
            ),
        )
        del values["zone"]
        del values["ip_address"]
        del values["first_start"]
        values["cloud_api.beat_lag_ms"] = "late"
        faults = " ".join(self.faults("core", values))
        for key in (
            "zone",
            "first_start",
            "ip_address",
            "internal_port_range",
            "contact_ms",
            "drain_limit_ms",
            "beat_lag_ms",
        ):
            self.assertIn(key, faults)

    def test_a_bound_of_an_active_contract_part_is_required(self) -> None:
        for part, names in settings.REQUIRED_BOUNDS.items():
            for name in names:
                bounds = ",".join(
                    pair for pair in deployment.BOUNDS.split(",") if not pair.startswith(f"{name}=")
                )
                for role in ("core", "edge"):
                    faults = self.faults(role, lines(bounds=bounds, contract_parts=part))
                    self.assertIn(name, " ".join(faults), role)

    def test_a_bound_of_an_inactive_contract_part_is_optional(self) -> None:
        bounds = "contact_ms=4000,grace_period_s=6"
        for role in ("core", "edge"):
            self.assertEqual("a", translate(role, lines(bounds=bounds, contract_parts="base")).zone)
            faults = self.faults(role, lines(bounds=bounds, contract_parts="base,cache"))
            self.assertEqual(
                {"purge_limit_ms", "staleness_slack_s", "ceiling_window_s"},
                {fault.split(": ")[1] for fault in faults},
            )

    def test_unknown_keys_bounds_and_parts_are_ignored(self) -> None:
        values = lines(
            moon__phase="full",
            bounds=deployment.BOUNDS + ",moon_s=4,tide=true",
            contract_parts="base,tides",
        )
        for role in ("core", "edge"):
            self.assertEqual(translate(role, lines()).values, translate(role, values).values)

    def test_bounds_may_be_integers_floats_or_booleans(self) -> None:
        node_settings = settings.NodeSettings({"bounds": "a=3, b=0.25,c=true,d=false,"})
        self.assertEqual({"a": 3.0, "b": 0.25, "c": 1.0, "d": 0.0}, node_settings.bounds)
        self.assertEqual([], node_settings.faults)
        self.assertTrue(settings.NodeSettings({"bounds": "a"}).faults)
        self.assertTrue(settings.NodeSettings({"bounds": "a="}).faults)

    def test_one_to_five_zones_are_accepted(self) -> None:
        one = {"a": "north"}
        two = {"a": "north", "b": "north"}
        regions = {"a": "north", "b": "south", "c": "west"}
        five = {zone: "north" if zone in "ab" else "south" for zone in "abcde"}
        for zones, seeds in ((one, SEEDS), (two, SEEDS), (regions, SEEDS), (five, SEEDS)):
            for role in ("core", "edge"):
                settings = translate(role, lines(zones, seeds))
                self.assertEqual(zones, settings.regions)

    def test_fewer_than_three_seeds_are_accepted(self) -> None:
        for count in (1, 2):
            for role in ("core", "edge"):
                settings = translate(role, lines({"a": "north"}, SEEDS[:count]))
                self.assertEqual(count, len(set(settings.seeds)))

    def test_an_invalid_or_too_small_port_range_is_a_fault(self) -> None:
        for given in ("7660,7662", "7660,7660", "7675,7660", "", "7660", "7660,7665,7675", "a,b"):
            for role in ("core", "edge"):
                faults = self.faults(role, lines(internal_port_range=given))
                self.assertIn("internal_port_range", " ".join(faults), given)
        translate("core", lines(internal_port_range="7660,7663"))

    def test_the_list_interval_respects_the_rate_limit(self) -> None:
        for rate in ("0.5", "1", "4", "52.0"):
            settings = translate("core", lines(cloud_api__rate_per_s=rate))
            self.assertLessEqual(1.0 / settings.listing_seconds, float(rate))
            self.assertGreater(settings.listing_takeover, 1.4 * settings.listing_seconds)

    def test_the_leader_reads_an_overdue_list_within_the_drain_limit(self) -> None:
        for drain_limit_ms in (1200, 2000, 2500, 3000, 6000):
            bounds = deployment.BOUNDS.replace(
                "drain_limit_ms=2500", f"drain_limit_ms={drain_limit_ms}"
            )
            core = translate("core", lines(bounds=bounds))
            limit = drain_limit_ms / 1000
            # The leader leaves the reader time, and then has time to read and pass on the list.
            self.assertGreater(core.listing_takeover, core.listing_seconds + 0.2 * limit)
            self.assertLess(core.listing_takeover, 0.7 * limit)

    def test_each_fault_is_reported_once(self) -> None:
        values = lines(internal_port_range="7660,7661")
        faults = self.faults("edge", values)
        self.assertEqual(sorted(set(faults)), sorted(faults))
