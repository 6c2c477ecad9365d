"""The router daemon: connects the decision code to adapters for network, table and timers."""
