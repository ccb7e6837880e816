"""The client of the discovery service: watch, poll schedule, HTTP connection, endpoint list."""
