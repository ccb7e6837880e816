"""The command line `quota-gateway`."""
