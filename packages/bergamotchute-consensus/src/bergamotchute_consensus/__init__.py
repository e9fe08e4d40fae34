"""The replicated log: election, replication, membership change, snapshots and disk."""
