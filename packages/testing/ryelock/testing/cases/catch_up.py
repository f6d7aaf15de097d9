"""A simulated run of hundreds of changes while control nodes restart, stay away and are wiped.

One operator makes changes in a row, each on the version that was acknowledged last, and sends one
again until its answer is clear. Meanwhile:

- one follower restarts again and again, every other time by a loss of power;
- another is away for most of the run, so that only an image can bring it level;
- halfway the two that are left lose power together, right after an acknowledgement;
- the leader loses power while the one that was away is back but not level yet, and must not be
  followed by it;
- the leader's disk is lost as soon as that one could win an election.

Findings come from what the operator was told and from what the nodes hold in the end.
"""

from ryelock.consensus import Consensus
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario

CHANGES = 260
"""Changes that must be acknowledged in all."""
RESTART_EVERY = 20
"""Changes between two restarts of the first follower."""
AWAY_FROM, AWAY_UNTIL = 30, 200
"""The second follower is away between so many acknowledged changes."""
POWER_LOST_AT = 110
SNAPSHOT_RECORDS = 60
ROUTES = 20
"""Changes rewrite so many routes in turn."""
CATCH_UP_SECONDS = 20.0
"""A member that is back is level with a majority, while changes go on, within this time."""
STEP_SECONDS = 60.0
RESEND_SECONDS = 0.1
PAUSE_SECONDS = 0.02
FINAL_REFUSALS = (400, 409, 422)


class Writer:
    """The operator: what was acknowledged, by version, and what it was told in between."""

    def __init__(self, scenario: Scenario, found: Findings) -> None:
        """Start at version 1, with nothing acknowledged."""
        self.scenario = scenario
        self.found = found
        self.version = 1
        self.acknowledged: list[tuple[str, str]] = []
        self.going = True

    async def write(self) -> None:
        """Change after change until it is told to stop."""
        number = 0
        while self.going:
            number += 1
            await self.write_one(number)
            await self.scenario.operators.scheduler.sleep(PAUSE_SECONDS)

    async def write_one(self, number: int) -> None:
        """Send one change until it is acknowledged or the run ends."""
        name, path = f"many-{number % ROUTES}", f"/many/{number}"
        put: dict[str, object] = {"routes": {name: {"path": path, "service": "pages"}}}
        while self.going:
            record = await self.scenario.change(f"many-{number}", self.version, put)
            if record.status == 200:
                self.found.look("changes")
                if record.version != self.version + 1:
                    self.found.broken("changes", f"{path}: version {record.version}")
                self.version = record.version
                self.acknowledged.append((name, path))
                return
            if record.status in FINAL_REFUSALS:
                self.found.broken("changes", f"{path} was told {record.status}")
                self.going = False
            await self.scenario.operators.scheduler.sleep(RESEND_SECONDS)


class ManyChanges:
    """The run; each step waits for the operator's progress, never for a length of time alone."""

    def __init__(self, seed: int) -> None:
        """Build the fleet of a seed; nothing runs yet."""
        self.found = Findings()
        self.scenario = Scenario(
            seed, edges=1, probers=0, settings={"image_records": SNAPSHOT_RECORDS}
        )
        self.writer = Writer(self.scenario, self.found)

    def consensus(self, name: str) -> Consensus:
        """Return the consensus member of a running control node."""
        return self.scenario.node(name).core.consensus

    def run_until_written(self, count: int) -> bool:
        """Run until so many changes were acknowledged."""
        writer = self.writer
        done = self.scenario.world.run_until(
            lambda: len(writer.acknowledged) >= count or not writer.going, STEP_SECONDS
        )
        if not done:
            self.found.broken("progress", f"only {len(writer.acknowledged)} of {count} changes")
        return done and writer.going

    def run_until_level(self, name: str) -> bool:
        """Run until a node has applied all that was agreed when this began."""
        scenario = self.scenario
        councils = [self.consensus(other) for other in scenario.alive(scenario.cores)]
        agreed = max(consensus.commit_index for consensus in councils)
        self.found.look("catch-up")
        level = scenario.world.run_until(
            lambda: self.consensus(name).applied_index >= agreed, CATCH_UP_SECONDS
        )
        if not level:
            place = self.consensus(name).applied_index
            self.found.broken("catch-up", f"{name} is at {place} of {agreed}")
        return level

    def play(self) -> Findings:
        """Run the whole case."""
        scenario = self.scenario
        scenario.set_up()
        scenario.operators.scheduler.create_task(self.writer.write(), name="writer")
        restarted, away = [name for name in scenario.cores if name != scenario.leader()]
        if not self.run_until_written(AWAY_FROM):
            return self.found
        scenario.world.kill(away, power=True)
        for count in range(AWAY_FROM, AWAY_UNTIL, RESTART_EVERY):
            self.restart(restarted)
            if not self.run_until_written(count):
                return self.found
            if count == POWER_LOST_AT:
                self.lose_power([name for name in scenario.cores if name != away])
        scenario.start(away)
        self.kill_leader_before_level(away)
        self.run_until_written(len(self.writer.acknowledged) + RESTART_EVERY)
        self.lose_leader(away)
        if self.run_until_written(CHANGES):
            self.finish()
        return self.found

    def restart(self, name: str) -> None:
        """End a follower where it is and start it at once; every other time without power."""
        scenario = self.scenario
        if name == scenario.leader():
            return
        scenario.world.kill(name, power=scenario.random.random() < 0.5)
        scenario.start(name)
        self.run_until_level(name)

    def lose_power(self, names: list[str]) -> None:
        """All of them at the same moment, right after an acknowledgement."""
        scenario = self.scenario
        self.run_until_written(len(self.writer.acknowledged) + 1)
        for name in names:
            scenario.world.kill(name, power=True)
        for name in names:
            scenario.start(name)
        self.await_leader("after power was lost")

    def await_leader(self, when: str) -> None:
        """Run until one leads, and hold what it has against what was acknowledged."""
        scenario = self.scenario
        if scenario.world.run_until(lambda: bool(scenario.leader()), CATCH_UP_SECONDS):
            self.check_configuration(scenario.leader(), when)
        else:
            self.found.broken("catch-up", f"no leader {when}")

    def kill_leader_before_level(self, back: str) -> None:
        """The leader loses power once a node that is back has heard of it and lacks entries."""
        scenario = self.scenario
        leader = scenario.leader()

        def behind() -> bool:
            consensus = self.consensus(back)
            return (
                consensus.knows_leader()
                and consensus.last_index < self.consensus(leader).commit_index
            )

        if not leader or not scenario.world.run_until(behind, CATCH_UP_SECONDS):
            return
        self.found.look("leader lost before level")
        scenario.world.kill(leader, power=True)
        self.await_leader("after the leader was lost before level")
        scenario.start(leader)
        self.run_until_level(leader)

    def lose_leader(self, back: str) -> None:
        """The leader's disk is lost as soon as the node that was away may win; then it is back."""
        scenario = self.scenario
        if not self.run_until_level(back):
            return
        leader = scenario.leader()
        could_win = scenario.world.run_until(
            lambda: (
                bool(leader)
                and self.consensus(back).last_index >= self.consensus(leader).commit_index
            ),
            CATCH_UP_SECONDS,
        )
        if not could_win or leader in ("", back):
            return
        self.found.look("leader lost")
        scenario.lose_disk(leader)
        self.await_leader("after the leader was lost")
        scenario.start(leader)
        self.run_until_level(leader)

    def finish(self) -> None:
        """The operator stops; all nodes come to the same, with all that was acknowledged."""
        scenario = self.scenario
        self.writer.going = False
        scenario.world.run(2.0)
        for name in scenario.cores:
            self.run_until_level(name)
            self.check_configuration(name, "in the end")
        self.found.look(
            "images", sum(self.consensus(name).snapshot.index > 0 for name in scenario.cores)
        )
        for text in scenario.world.faults:
            self.found.broken("faults", text)

    def check_configuration(self, name: str, when: str) -> None:
        """No acknowledged change is missing; the last one sent may be there without an answer."""
        replicated_state = self.scenario.node(name).core.replicated_state
        version = self.writer.version
        self.found.look("lost")
        if not version <= replicated_state.version <= version + 1:
            self.found.broken(
                "lost", f"{name} {when}: {replicated_state.version}, acknowledged {version}"
            )
            return
        expected = dict(self.writer.acknowledged)
        routes = replicated_state.configuration.routes
        differing = [route for route, path in expected.items() if routes[route].path != path]
        if len(differing) > replicated_state.version - version:
            self.found.broken("lost", f"{name} {when}: {differing}")


def many_changes(seed: int) -> Findings:
    """Hundreds of changes while members restart, stay away, are wiped, and the leader is lost."""
    return ManyChanges(seed).play()
