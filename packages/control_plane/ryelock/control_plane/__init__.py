"""The control node: a disk, a member of the consensus group, and the leader's tasks.

`process` is the composition root, and `rpc_handlers` answers other processes. On the leader,
`lease_renewal` renews sessions and leases, `operator_requests` commits changes, `voters` replaces
lost disks and `singleton_roles` assigns the singleton roles. `aggregator` evaluates probe results,
`platform` polls the platform's server list, `identity` opens the disk.
"""
