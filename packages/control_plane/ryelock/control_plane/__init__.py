"""The control node: a disk, a seat in the consensus group, and what the leader does for all.

process.py puts it together; renewals.py answers sessions and keeps account of terms;
leading.py takes operators' words; keeper.py tends voters and duties; aggregator.py is the
duty that turns rows into verdicts; platform.py reads the listing of servers.
"""
