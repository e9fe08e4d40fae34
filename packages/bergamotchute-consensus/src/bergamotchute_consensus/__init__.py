"""The replicated log: leader election, replication, membership changes, snapshots and storage."""
