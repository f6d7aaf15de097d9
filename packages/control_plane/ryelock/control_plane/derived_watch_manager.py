"""Watches that the leader derives from served objects, for services without a configured watch."""

from ryelock.consensus import Consensus
from ryelock.events import WATCH_DERIVED, WATCH_ENDED, Log
from ryelock.health import watch_fingerprint
from ryelock.replicated_state import (
    ReplicatedState,
    Watch,
    derivable_routes,
    derived_name,
    derived_targets,
    derived_watches,
    encode_command,
)

ServedObject = tuple[str, str]
"""Host and target of a request that a cached object answered."""
Targets = dict[str, list[str]]


class DerivedWatchManager:
    """Ends derived watches whose object is gone, and derives new ones."""

    __slots__ = (
        "consensus",
        "enabled",
        "gone_objects",
        "log",
        "replicated_state",
        "served_objects",
    )

    def __init__(
        self,
        log: Log,
        consensus: Consensus,
        replicated_state: ReplicatedState,
        served_objects: dict[str, ServedObject],
        enabled: bool,
    ) -> None:
        """Create a manager.

        Args:
            log: the event log.
            consensus: commits the watches.
            replicated_state: the configuration and the current watches.
            served_objects: objects that edges recently served, by route; each refresh clears it.
            enabled: True to derive watches; False to end existing ones.
        """
        self.log = log
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.served_objects = served_objects
        self.enabled = enabled
        self.gone_objects: dict[str, ServedObject] = {}

    async def refresh(self) -> None:
        """Commit the derived watches if they have to change."""
        before = self.replicated_state.derived
        targets = self.remaining_targets(before)
        candidates = sorted(self.served_objects.items())
        self.served_objects.clear()
        targets, watches = self.add_candidates(targets, candidates if self.enabled else [])
        if watches == before:
            return
        outcome = await self.consensus.propose(encode_command("derived", places=targets))
        if outcome.is_ok():
            self.log_changes(before, self.replicated_state.derived)

    def remaining_targets(self, before: dict[str, Watch]) -> Targets:
        """Return the targets of the current watches whose object probes did not find gone."""
        gone = self.replicated_state.verdict.get("gone")
        targets = derived_targets(before)
        for name, watch in before.items():
            is_gone = isinstance(gone, dict) and (
                gone.get(derived_name(name)) == watch_fingerprint(watch)
            )
            if is_gone or not self.enabled:
                self.gone_objects[name] = (watch.host, watch.object)
                del targets[name]
        return targets

    def add_candidates(
        self, targets: Targets, candidates: list[tuple[str, ServedObject]]
    ) -> tuple[Targets, dict[str, Watch]]:
        """Return the targets and watches, with a candidate added for each service without a watch.

        Of a service's routes the first by name is used. An object that was found gone is skipped.
        """
        configuration = self.replicated_state.configuration
        watches = derived_watches(configuration, targets)
        for name, served in candidates:
            is_derivable = name in derivable_routes(configuration, watches)
            if is_derivable and self.gone_objects.get(name) != served:
                targets[name] = list(served)
                watches = derived_watches(configuration, targets)
                targets = derived_targets(watches)
        return targets, watches

    def log_changes(self, before: dict[str, Watch], after: dict[str, Watch]) -> None:
        """Log each watch that ended or was derived."""
        for name in sorted({*before, *after}):
            old, new = before.get(name), after.get(name)
            if old is not None and old != new:
                self.log.write(WATCH_ENDED, route=name, object=old.object)
            if new is not None and old != new:
                self.log.write(WATCH_DERIVED, route=name, host=new.host, object=new.object)
