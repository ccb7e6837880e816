"""Client of the discovery service: endpoint watch, poll schedule, HTTP connection, endpoint list parsers."""
