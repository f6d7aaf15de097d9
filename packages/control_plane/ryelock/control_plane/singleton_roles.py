"""The singleton roles: jobs that one control node does for the whole network."""

from ryelock.consensus import Consensus, Role
from ryelock.events import ROLE_ASSIGNED, Log
from ryelock.membership import Membership
from ryelock.replicated_state import ReplicatedState, encode_command
from ryelock.runtime import Scheduler
from ryelock.settings import NodeRole
from ryelock.singleton import SingletonRole, next_assignment

AGGREGATOR_ROLE = "aggregator"
"""Its owner evaluates the probes' results."""
SERVER_LIST_READER_ROLE = "reader"
"""Its owner reads the platform's list of servers, where the settings give that to one node."""
HAND_OVER_SECONDS = 1.5
HAND_OVER_PAUSE_SECONDS = 0.1


class RoleAssigner:
    """Gives each role to a control node; an assignment is a command in the replicated log."""

    __slots__ = (
        "consensus",
        "log",
        "membership",
        "replicated_state",
        "roles",
        "scheduler",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        consensus: Consensus,
        replicated_state: ReplicatedState,
        membership: Membership,
        roles: tuple[str, ...],
    ) -> None:
        """Create an assigner of the named roles."""
        self.scheduler = scheduler
        self.log = log
        self.consensus = consensus
        self.replicated_state = replicated_state
        self.membership = membership
        self.roles = roles

    async def assign_roles(self) -> None:
        """Assign each role anew whose owner or successor is gone or shutting down."""
        control_nodes = {
            name: session
            for name, session in self.membership.members().items()
            if session.role == NodeRole.CONTROL
        }
        leaving = [name for name, session in control_nodes.items() if not session.ready]
        for name in self.roles:
            present = self.replicated_state.singletons.get(name)
            assignment = next_assignment(present, name, control_nodes, leaving)
            if assignment is not None:
                await self.commit(assignment)

    async def commit(self, assignment: SingletonRole) -> None:
        """Have an assignment committed."""
        outcome = await self.consensus.propose(encode_command("duty", **assignment.to_wire()))
        if outcome.is_ok():
            self.log.write(
                ROLE_ASSIGNED,
                duty=assignment.name,
                holder=assignment.owner,
                epoch=assignment.fencing_token,
                successor=assignment.successor,
            )

    async def hand_over(self, owner: str) -> None:
        """Wait a while until a node that shuts down owns no role that has a successor.

        Where the node leads it commits the hand-over itself; elsewhere the leader does, since the
        node's session says that it is not ready.
        """
        until = self.scheduler.now() + HAND_OVER_SECONDS
        while self.scheduler.now() < until:
            owned = [
                role for role in self.replicated_state.singletons.values() if role.owner == owner
            ]
            if not owned or not any(role.successor for role in owned):
                return
            for role in owned:
                if self.consensus.role == Role.LEADER and role.successor:
                    await self.commit(
                        SingletonRole(role.name, role.successor, role.fencing_token + 1, "")
                    )
            await self.scheduler.sleep(HAND_OVER_PAUSE_SECONDS)
