"""Expert maps of rank groups: the agents beside the ranks, one of which commands its group."""
