"""deploy/system.toml lists the Debian packages that a clean build and the roles call for."""

import re
import shlex
import tomllib
from pathlib import Path

import testtools

ROOT = Path(__file__).parent.parent.parent
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
PACKAGES_OF_PROGRAM = {
    "bash": {"bash"},
    "cp": {"coreutils"},
    "dirname": {"coreutils"},
    "env": {"coreutils"},
    "find": {"findutils"},
    "mkdir": {"coreutils"},
    "mv": {"coreutils"},
    "python3": {"python3"},
    "rm": {"coreutils"},
    "sh": {"dash"},
    "touch": {"coreutils"},
}
"""Each program with the Debian package that holds it (`dpkg -S`)."""
PACKAGES_OF_MODULE = {
    "compileall": {"python3"},
    "pip": {"python3-pip", "ca-certificates"},
}
"""What `python3 -m` runs. pip takes the authorities that it trusts from ca-certificates."""
SHELL_BUILTINS = {"[", "cd", "echo", "exit", "set", "test", "true", "false", "printf"}
KEYWORDS_BEFORE_A_COMMAND = {"!", "if", "then", "elif", "else", "do", "while", "until", "{"}
KEYWORDS_ALONE = {"fi", "done", "}", "esac"}
SEPARATORS = {";", "&", "&&", "|", "||", "(", ")", ";;", "\n"}
OPTIONS_BEFORE_A_COMMAND = {"-exec", "-execdir", "-ok", "-okdir"}


def without_substitutions(script: str) -> tuple[str, list[str]]:
    """Return the script with a plain word for each `$(...)`, and the commands inside these."""
    inner: list[str] = []
    while (start := script.find("$(")) >= 0:
        depth, end = 1, start + 2
        while depth:
            depth += {"(": 1, ")": -1}.get(script[end], 0)
            end += 1
        inner.append(script[start + 2 : end - 1])
        script = f"{script[:start]}SUBSTITUTED{script[end:]}"
    return script, inner


def commands_of(script: str) -> list[list[str]]:
    """Return each command that a shell script runs, as its words.

    Of the shell's grammar it knows lists, pipelines, `if`, loops, `$(...)` and the commands that
    `find` runs. It raises ValueError for here-documents, backquotes and functions, so that a
    script that begins to use these isn't read wrongly.
    """
    for construct in ("<<", "`", "()", "$(("):
        if construct in script:
            raise ValueError(f"{construct} isn't understood here")
    script, inner = without_substitutions(script.replace("\\\n", " "))
    found = [command for part in inner for command in commands_of(part)]
    for line in script.splitlines():
        lexer = shlex.shlex(line, posix=True, punctuation_chars=True)
        lexer.wordchars += "$!:@%+,[]{}"
        command: list[str] = []
        for word in [*lexer, "\n"]:
            if word in SEPARATORS or word in OPTIONS_BEFORE_A_COMMAND:
                found += [command] if command else []
                command = []
            elif command or not (
                word in KEYWORDS_BEFORE_A_COMMAND or re.fullmatch(r"\w+=.*", word)
            ):
                command.append(word)
    return [words for words in found if words[0] not in {"for", "case"} | KEYWORDS_ALONE]


def shebang_programs(script: str) -> list[str]:
    """Return the programs that the first line of a script names."""
    first = script.splitlines()[0]
    return [Path(word).name for word in first[2:].split()] if first.startswith("#!") else []


def packages_needed(commands: list[list[str]]) -> set[str]:
    """Return the packages that hold what the commands call.

    Raises:
        KeyError: A program or module that the tables don't know.
    """
    needed: set[str] = set()
    for words in commands:
        if words[0] in SHELL_BUILTINS:
            continue
        needed |= PACKAGES_OF_PROGRAM[words[0]]
        if words[0] == "python3" and "-m" in words:
            needed |= PACKAGES_OF_MODULE[words[words.index("-m") + 1]]
    return needed


class DeployPackagesTests(testtools.TestCase):
    def test_the_listed_packages_are_those_of_the_programs_called(self) -> None:
        deploy = tomllib.loads(DEPLOY_FILE.read_text())
        script = (ROOT / "deploy" / "build").read_text()
        commands = [["sh"], *commands_of(deploy["build"]), *commands_of(script)]
        commands += [[program] for program in shebang_programs(script)]
        commands += [role["run"].split() for role in deploy["roles"].values()]
        self.assertEqual(sorted(packages_needed(commands)), deploy["packages"])

    def test_the_commands_of_the_build_are_found(self) -> None:
        called = {words[0] for words in commands_of((ROOT / "deploy" / "build").read_text())}
        self.assertEqual(
            {"cp", "dirname", "find", "mkdir", "mv", "python3", "rm", "touch"},
            called - SHELL_BUILTINS,
        )

    def test_a_command_is_found_wherever_a_script_runs_it(self) -> None:
        script = "\n".join(
            (
                'cd "$(dirname "$0")"  # gcc in a comment is no command',
                "if ! [ -e a ]; then tar x; else gzip y; fi",
                "for name in cp mv; do [ a = b ] || install $name; done",
                "make all && strip z | sort",
                "find . -name x -exec chmod 0 {} +",
                "CC=clang cmake \\",
                "  -D curl",
            )
        )
        self.assertEqual(
            {"dirname", "cd", "[", "tar", "gzip", "install", "make", "strip", "sort"}
            | {"find", "chmod", "cmake"},
            {words[0] for words in commands_of(script)},
        )

    def test_a_program_without_a_package_fails(self) -> None:
        self.assertRaises(KeyError, packages_needed, commands_of("gcc -c x.c"))
        self.assertRaises(KeyError, packages_needed, commands_of("python3 -m venv x"))

    def test_what_is_not_understood_is_refused(self) -> None:
        for script in ("cat <<END", "f() { gcc; }", "x=`gcc`"):
            self.assertRaises(ValueError, commands_of, script)
