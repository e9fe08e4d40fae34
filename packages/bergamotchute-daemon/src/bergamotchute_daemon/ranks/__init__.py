"""Expert maps of rank groups: agents beside the ranks, and the one that commands its group."""
