"""Assignment of the singleton roles to control nodes."""

from ryelock.consensus import Consensus, Role
from ryelock.events import ROLE_ASSIGNED, Log
from ryelock.membership import Membership
from ryelock.replicated_state import ReplicatedState, encode_command
from ryelock.runtime import Scheduler
from ryelock.settings import NodeRole
from ryelock.singleton import SingletonRole, next_assignment

AGGREGATOR_ROLE = "aggregator"
"""Role of the node that evaluates probe results."""
SERVER_LIST_READER_ROLE = "reader"
"""Role of the node that polls the platform's server list; used with the `reader_duty` setting."""
HAND_OVER_TIMEOUT_SECONDS = 1.5
HAND_OVER_POLL_SECONDS = 0.1


class RoleAssigner:
    """Assigns each role to a control node by a command in the replicated log."""

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
        """Commit a new assignment for each role whose owner or successor is gone or leaving."""
        control_nodes = {
            name: session
            for name, session in self.membership.members().items()
            if session.role == NodeRole.CONTROL
        }
        leaving = [name for name, session in control_nodes.items() if not session.ready]
        for name in self.roles:
            current = self.replicated_state.singletons.get(name)
            assignment = next_assignment(current, name, control_nodes, leaving)
            if assignment is not None:
                await self.commit(assignment)

    async def commit(self, assignment: SingletonRole) -> None:
        """Commit an assignment."""
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
        """Wait until a node that shuts down owns no role with a successor, up to a timeout.

        A leader commits the hand-over itself. For any other node the leader does so, since the
        node's session is not ready.
        """
        until = self.scheduler.now() + HAND_OVER_TIMEOUT_SECONDS
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
            await self.scheduler.sleep(HAND_OVER_POLL_SECONDS)
