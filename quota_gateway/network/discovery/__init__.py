"""The client of the discovery service: watch, HTTP exchange, endpoint list."""
