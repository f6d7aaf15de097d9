"""Fault injection during hundreds of changes: restarts, a long absence, lost disks.

One operator commits changes in a row, each based on the last acknowledged version, and retries
each until its outcome is known. Meanwhile:

- one follower restarts repeatedly, in about half of the cases by a loss of power;
- another is down for most of the run, so that only a snapshot lets it catch up;
- midway the two remaining nodes lose power together, right after an acknowledgement;
- the leader loses power while the returned follower still lacks committed entries, and that
  follower must not succeed it;
- the leader's disk is lost as soon as that follower could win an election.

Findings are derived from the operator's answers and from the nodes' final state.
"""

from ryelock.consensus import Consensus
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario

TOTAL_CHANGES = 260
"""Total number of changes to acknowledge."""
RESTART_INTERVAL_CHANGES = 20
"""Acknowledged changes between two restarts of the first follower."""
DOWN_FROM_CHANGES, DOWN_UNTIL_CHANGES = 30, 200
"""Numbers of acknowledged changes between which the second follower is down."""
POWER_LOSS_AT_CHANGES = 110
SNAPSHOT_RECORDS = 60
ROUTES = 20
"""Number of routes that the changes rewrite in turn."""
CATCH_UP_SECONDS = 20.0
"""Deadline for a restarted node to catch up with the commit index under load."""
STEP_SECONDS = 60.0
RETRY_INTERVAL_SECONDS = 0.1
CHANGE_INTERVAL_SECONDS = 0.02
FINAL_REJECTIONS = (400, 409, 422)


class Writer:
    """The operator, who commits one change after another.

    Attributes:
        version: last acknowledged version.
        acknowledged: route name and path of each acknowledged change, in order of versions.
        running: cleared to stop the operator.
    """

    def __init__(self, scenario: Scenario, found: Findings) -> None:
        """Create an operator at version 1, with nothing acknowledged."""
        self.scenario = scenario
        self.found = found
        self.version = 1
        self.acknowledged: list[tuple[str, str]] = []
        self.running = True

    async def write(self) -> None:
        """Send change after change until `running` is cleared."""
        number = 0
        while self.running:
            number += 1
            await self.write_one(number)
            await self.scenario.operators.scheduler.sleep(CHANGE_INTERVAL_SECONDS)

    async def write_one(self, number: int) -> None:
        """Retry one change until it is acknowledged or the run ends."""
        name, path = f"many-{number % ROUTES}", f"/many/{number}"
        put: dict[str, object] = {"routes": {name: {"path": path, "service": "pages"}}}
        while self.running:
            record = await self.scenario.change(f"many-{number}", self.version, put)
            if record.status == 200:
                self.found.count_check("changes")
                if record.version != self.version + 1:
                    self.found.add_violation("changes", f"{path}: version {record.version}")
                self.version = record.version
                self.acknowledged.append((name, path))
                return
            if record.status in FINAL_REJECTIONS:
                self.found.add_violation("changes", f"{path} was told {record.status}")
                self.running = False
            await self.scenario.operators.scheduler.sleep(RETRY_INTERVAL_SECONDS)


class ManyChanges:
    """One run; its steps wait for the operator's progress rather than for fixed times."""

    def __init__(self, seed: int) -> None:
        """Create the fleet of a seed without starting it."""
        self.found = Findings()
        self.scenario = Scenario(
            seed, edges=1, probers=0, settings={"image_records": SNAPSHOT_RECORDS}
        )
        self.writer = Writer(self.scenario, self.found)

    def consensus(self, name: str) -> Consensus:
        """Return the consensus state of a running control node."""
        return self.scenario.node(name).core.consensus

    def run_until_written(self, count: int) -> bool:
        """Run until `count` changes are acknowledged; return False if that fails."""
        writer = self.writer
        done = self.scenario.world.run_until(
            lambda: len(writer.acknowledged) >= count or not writer.running, STEP_SECONDS
        )
        if not done:
            self.found.add_violation(
                "progress", f"only {len(writer.acknowledged)} of {count} changes"
            )
        return done and writer.running

    def run_until_caught_up(self, name: str) -> bool:
        """Run until a node has applied every entry committed before the call."""
        scenario = self.scenario
        members = [self.consensus(other) for other in scenario.alive(scenario.cores)]
        committed = max(consensus.commit_index for consensus in members)
        self.found.count_check("catch-up")
        caught_up = scenario.world.run_until(
            lambda: self.consensus(name).applied_index >= committed, CATCH_UP_SECONDS
        )
        if not caught_up:
            applied = self.consensus(name).applied_index
            self.found.add_violation("catch-up", f"{name} is at {applied} of {committed}")
        return caught_up

    def run_case(self) -> Findings:
        """Run the case."""
        scenario = self.scenario
        scenario.set_up()
        scenario.operators.scheduler.create_task(self.writer.write(), name="writer")
        restarted, absent = [name for name in scenario.cores if name != scenario.leader()]
        if not self.run_until_written(DOWN_FROM_CHANGES):
            return self.found
        scenario.world.kill(absent, power=True)
        for count in range(DOWN_FROM_CHANGES, DOWN_UNTIL_CHANGES, RESTART_INTERVAL_CHANGES):
            self.restart(restarted)
            if not self.run_until_written(count):
                return self.found
            if count == POWER_LOSS_AT_CHANGES:
                self.lose_power([name for name in scenario.cores if name != absent])
        scenario.start(absent)
        self.kill_leader_before_catch_up(absent)
        self.run_until_written(len(self.writer.acknowledged) + RESTART_INTERVAL_CHANGES)
        self.lose_leader(absent)
        if self.run_until_written(TOTAL_CHANGES):
            self.finish()
        return self.found

    def restart(self, name: str) -> None:
        """Kill a follower, perhaps with a power loss, and restart it at once."""
        scenario = self.scenario
        if name == scenario.leader():
            return
        scenario.world.kill(name, power=scenario.random.random() < 0.5)
        scenario.start(name)
        self.run_until_caught_up(name)

    def lose_power(self, names: list[str]) -> None:
        """Cut the power of some nodes at once, right after an acknowledgement, and restart them."""
        scenario = self.scenario
        self.run_until_written(len(self.writer.acknowledged) + 1)
        for name in names:
            scenario.world.kill(name, power=True)
        for name in names:
            scenario.start(name)
        self.await_leader("after power was lost")

    def await_leader(self, when: str) -> None:
        """Run until a leader is elected, and check its state against the acknowledged changes."""
        scenario = self.scenario
        if scenario.world.run_until(lambda: bool(scenario.leader()), CATCH_UP_SECONDS):
            self.check_configuration(scenario.leader(), when)
        else:
            self.found.add_violation("catch-up", f"no leader {when}")

    def kill_leader_before_catch_up(self, returned: str) -> None:
        """Cut the leader's power once a returned node follows it but still lacks entries."""
        scenario = self.scenario
        leader = scenario.leader()

        def lacks_entries() -> bool:
            consensus = self.consensus(returned)
            return (
                consensus.knows_leader()
                and consensus.last_index < self.consensus(leader).commit_index
            )

        if not leader or not scenario.world.run_until(lacks_entries, CATCH_UP_SECONDS):
            return
        self.found.count_check("leader lost before level")
        scenario.world.kill(leader, power=True)
        self.await_leader("after the leader was lost before level")
        scenario.start(leader)
        self.run_until_caught_up(leader)

    def lose_leader(self, returned: str) -> None:
        """Lose the leader's disk once the returned node could win an election; then restart it."""
        scenario = self.scenario
        if not self.run_until_caught_up(returned):
            return
        leader = scenario.leader()
        could_win = scenario.world.run_until(
            lambda: (
                bool(leader)
                and self.consensus(returned).last_index >= self.consensus(leader).commit_index
            ),
            CATCH_UP_SECONDS,
        )
        if not could_win or leader in ("", returned):
            return
        self.found.count_check("leader lost")
        scenario.lose_disk(leader)
        self.await_leader("after the leader was lost")
        scenario.start(leader)
        self.run_until_caught_up(leader)

    def finish(self) -> None:
        """Stop the operator and check that all nodes converge to the acknowledged state."""
        scenario = self.scenario
        self.writer.running = False
        scenario.world.run(2.0)
        for name in scenario.cores:
            self.run_until_caught_up(name)
            self.check_configuration(name, "in the end")
        self.found.count_check(
            "images", sum(self.consensus(name).snapshot.index > 0 for name in scenario.cores)
        )
        for text in scenario.world.faults:
            self.found.add_violation("faults", text)

    def check_configuration(self, name: str, when: str) -> None:
        """Check that no acknowledged change is missing.

        The last change sent may have taken effect without an answer.
        """
        replicated_state = self.scenario.node(name).core.replicated_state
        version = self.writer.version
        self.found.count_check("lost")
        if not version <= replicated_state.version <= version + 1:
            self.found.add_violation(
                "lost", f"{name} {when}: {replicated_state.version}, acknowledged {version}"
            )
            return
        expected = dict(self.writer.acknowledged)
        routes = replicated_state.configuration.routes
        differing = [route for route, path in expected.items() if routes[route].path != path]
        if len(differing) > replicated_state.version - version:
            self.found.add_violation("lost", f"{name} {when}: {differing}")


def many_changes(seed: int) -> Findings:
    """Commit hundreds of changes while nodes restart, are absent, and lose their disks."""
    return ManyChanges(seed).run_case()
