"""The control node: a disk, a member of the consensus group, and what the leader does for all.

`process` composes it and `rpc_handlers` answers other processes. At the leader, `lease_renewal`
answers nodes that renew, `operator_requests` commits what operators ask for, `voters` replaces lost
disks and `singleton_roles` assigns the roles that one node has for all. `aggregator` evaluates the
probes' results, `platform` reads the platform's list of servers, `identity` opens the disk.
"""
