"""The page of docs/settings.md, made of the declared settings."""

from ryelock.settings.declaration import Setting, Settings, declared_settings
from ryelock.settings.reading import REQUIRED, NodeRole

HEAD = """# Settings

Every process takes these from a TOML or JSON file (`--settings`), from its own flags, or as
`--sets KEY=VALUE`. They are checked whole before any port opens: one line a fault, exit code 2.
A setting without a default has to be given where its role needs it.

| key | default | needed by | what it says |
|---|---|---|---|
"""
ROLES = (NodeRole.CONTROL, NodeRole.EDGE, NodeRole.PROBER)
"""The roles that a user starts."""


def settings_page() -> str:
    """Return the text of docs/settings.md."""
    rows = [row(key, setting) for key, setting in declared_settings(Settings).items()]
    return HEAD + "".join(f"{line}\n" for line in rows)


def row(key: str, setting: Setting[object]) -> str:
    """Return the row of one setting."""
    roles = ", ".join(role for role in ROLES if key in REQUIRED[role])
    return f"| `{key}` | {format_default(setting.default)} | {roles} | {setting.description} |"


def format_default(value: object) -> str:
    """Return a default as the page has it; empty for text, lists and tables, which have none."""
    if isinstance(value, bool):
        return str(value).lower()
    return f"{value:g}" if isinstance(value, int | float) else ""
