"""Generation of docs/settings.md from the declared settings."""

from ryelock.settings.declaration import Setting, Settings, declared_settings
from ryelock.settings.reading import REQUIRED, NodeRole

PAGE_HEADER = """# Settings

Every process takes these from a TOML or JSON file (`--settings`), from its own flags, or as
`--sets KEY=VALUE`. They are checked whole before any port opens: one line a fault, exit code 2.
A setting without a default has to be given where its role needs it.

| key | default | needed by | what it says |
|---|---|---|---|
"""
ROLES = (NodeRole.CONTROL, NodeRole.EDGE, NodeRole.PROBER)
"""Roles that have a subcommand."""


def settings_page() -> str:
    """Return the text of docs/settings.md."""
    rows = [format_row(key, setting) for key, setting in declared_settings(Settings).items()]
    return PAGE_HEADER + "".join(f"{line}\n" for line in rows)


def format_row(key: str, setting: Setting[object]) -> str:
    """Return the table row of one setting."""
    roles = ", ".join(role for role in ROLES if key in REQUIRED[role])
    return f"| `{key}` | {format_default(setting.default)} | {roles} | {setting.description} |"


def format_default(value: object) -> str:
    """Return a default as shown on the page; empty for text, lists and tables."""
    if isinstance(value, bool):
        return str(value).lower()
    return f"{value:g}" if isinstance(value, int | float) else ""
