"""Decisions of the gateway: admission, endpoint choice, retries. No sockets and no clock of its own."""
