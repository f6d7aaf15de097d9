"""Settings of a member of the consensus group."""

from dataclasses import dataclass

from ryelock.consensus.log import MAX_RETAINED_BYTES


@dataclass(frozen=True, slots=True)
class ConsensusSettings:
    """Intervals, limits and sizes.

    Attributes:
        heartbeat_seconds: Interval between heartbeats to a follower.
        election_timeout: Seconds without leader contact after which a follower may campaign; the
            minimum of the randomised timeouts (Raft, section 5.2).
        lease_seconds: The longest lease that a voter grants to an edge while there is no leader.
        replace_seconds: Seconds without a stored entry after which a voter is lost.
        snapshot_records: Journal records after which a snapshot is due.
        may_bootstrap: True if this member may bootstrap a new cluster.
        disk_bytes: Size of the disk; 0 if unknown.
        max_retained_bytes: Maximum size of the compacted entries that are kept in memory.
    """

    heartbeat_seconds: float = 0.15
    election_timeout: float = 0.7
    lease_seconds: float = 1.5
    replace_seconds: float = 8.0
    snapshot_records: int = 4000
    may_bootstrap: bool = True
    disk_bytes: int = 0
    max_retained_bytes: int = MAX_RETAINED_BYTES
