"""The `quota-gateway` command line."""
