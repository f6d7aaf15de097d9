"""Rules of the repository for deployments: names, directories, deploy files and pinned versions."""

import os
import re
import subprocess
import sys
import tempfile
import tomllib
from importlib.metadata import distribution
from pathlib import Path

import testtools

ROOT = Path(__file__).parent.parent.parent
PLATFORM_NAMES = (
    "Attempt-Id",
    "Deadline-Remaining",
    "Server-Seal",
    "Expected-Instance",
    "Not-Executed",
    "Object-Labels",
    "Instance-Id",
    "Based-On-Version",
    "/instances",
    "page_token",
    "next_token",
    "slot_count",
    "cold_remaining",
    "cloud_api",
    "beat_lag",
    "seed_nodes",
    "contract_parts",
    "tolerated_losses",
    "listen_addresses",
    "internal_port_range",
    "data_directory",
    "RYELOCK_CONFIG",
    "node.conf",
    "weighted_split",
    "path_prefix",
    "attempt_limit",
    "cache_lifetime",
    "connection_cap",
    "rate_per_s",
    "timeout_ms",
    "/configuration/replace",
    "/configuration/amend",
    "drain_limit",
    "retry_slack",
)


def pinned_versions(path: Path) -> dict[str, str]:
    """Return the pinned versions of a requirements file by package."""
    pins = [line.split("==") for line in path.read_text().split() if "==" in line]
    return {name.lower(): version for name, version in pins}


class RepositoryTests(testtools.TestCase):
    def test_the_platform_directory_does_not_shadow_the_stdlib_module(self) -> None:
        self.assertEqual([], list((ROOT / "platform").rglob("__init__.py")))
        self.assertFalse((ROOT / "platform.py").exists())
        code = "import platform; print(platform.__file__, platform.python_version())"
        for directory in (ROOT, ROOT / "platform"):
            found = subprocess.run(
                [sys.executable, "-c", code],
                cwd=directory,
                capture_output=True,
                text=True,
                timeout=60,
                check=True,
            ).stdout.split()
            self.assertTrue(found[0].endswith("platform.py"), found)
            self.assertFalse(Path(found[0]).is_relative_to(ROOT / "platform"), found)

    def test_no_module_in_platform_shadows_a_stdlib_module(self) -> None:
        for file in (ROOT / "platform").glob("*.py"):
            self.assertNotIn(file.stem, sys.stdlib_module_names)

    def test_packages_contain_no_names_of_the_platform(self) -> None:
        sources = [
            file
            for file in (ROOT / "packages").rglob("*")
            if file.suffix in (".py", ".toml", ".md")
        ]
        self.assertGreater(len(sources), 80)
        for file in sources:
            text = file.read_text().lower()
            for name in PLATFORM_NAMES:
                self.assertNotIn(name.lower(), text, str(file))

    def test_packages_do_not_import_modules_of_platform(self) -> None:
        names = {file.stem for file in (ROOT / "platform").glob("*.py")}
        for file in (ROOT / "packages").rglob("*.py"):
            for line in file.read_text().splitlines():
                found = re.match(r"\s*(?:from|import)\s+(\w+)", line)
                if found is not None:
                    self.assertNotIn(found[1], names, f"{file}: {line}")

    def test_the_deploy_file_names_programs_that_exist(self) -> None:
        deploy_file = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        build = deploy_file["build"].split()
        self.assertTrue((ROOT / build[-1]).is_file(), build)
        served: set[tuple[str, str]] = set()
        for role, part in deploy_file["roles"].items():
            program, *rest = part["run"].split()
            arguments = [argument for argument in rest if not argument.startswith("-")]
            self.assertEqual("python3", program)
            self.assertTrue((ROOT / arguments[0]).is_file(), arguments)
            self.assertEqual(role, arguments[1])
            self.assertIn(part["on"], ("edge", "store"))
            self.assertEqual(1, ("share" in part) + ("count" in part), role)
            for name in part["serves"]:
                self.assertIn(name, ("edge", "control_plane"))
                self.assertNotIn((part["on"], name), served)
                served.add((part["on"], name))
        self.assertEqual({"edge", "control_plane"}, {name for _, name in served})
        self.assertLessEqual(len(deploy_file["roles"]), 2)

    def test_deployed_libraries_are_pinned_to_the_projects_versions(self) -> None:
        deployed, project = (
            pinned_versions(ROOT / "deploy" / "requirements.txt"),
            pinned_versions(ROOT / "requirements.txt"),
        )
        self.assertGreater(len(deployed), 5)
        for name, version in deployed.items():
            self.assertEqual(project.get(name), version, name)

    def test_both_roles_import_with_only_the_deployed_libraries(self) -> None:
        """Imports the modules of both roles with only the deployed packages on the path."""
        deployed = pinned_versions(ROOT / "deploy" / "requirements.txt")
        with tempfile.TemporaryDirectory() as folder:
            for name in deployed:
                found = distribution(name)
                for top in {file.parts[0] for file in found.files or ()} - {"..", "__pycache__"}:
                    (Path(folder) / top).symlink_to(str(found.locate_file(top)))
            path = [folder, *(str(package) for package in (ROOT / "packages").iterdir())]
            deploy_file = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
            for part in deploy_file["roles"].values():
                flags = {"-S", *(word for word in part["run"].split()[1:] if word[0] == "-")}
                ended = subprocess.run(
                    [
                        sys.executable,
                        *sorted(flags),
                        "-c",
                        "import sys; sys.path.insert(0, 'platform')\n"
                        "import control, traffic, jsonpatch\nprint(control.__file__)",
                    ],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    timeout=60,
                    check=False,
                    env={"PYTHONPATH": os.pathsep.join(path), "PATH": os.environ["PATH"]},
                )
                self.assertEqual("", ended.stderr if ended.returncode else "")
                self.assertIn("control.py", ended.stdout)

    def test_a_start_with_an_invalid_role_or_settings_file_exits_with_an_error(self) -> None:
        path = os.pathsep.join(str(folder) for folder in (ROOT / "packages").iterdir())
        for arguments, message in (
            ([], "one role"),
            (["king"], "one role"),
            (["core"], "/nowhere/node.conf"),
        ):
            found = subprocess.run(
                [sys.executable, "platform/start.py", *arguments],
                cwd=ROOT,
                text=True,
                capture_output=True,
                timeout=60,
                check=False,
                env={
                    "RYELOCK_CONFIG": "/nowhere/node.conf",
                    "PYTHONPATH": path,
                    "PATH": os.environ["PATH"],
                },
            )
            self.assertEqual(2, found.returncode, found.stderr)
            self.assertIn(message, found.stderr)
            self.assertNotIn("Traceback", found.stderr)
