"""A quota-keeping gateway for a shared API: its decisions, its network code and its lab."""
