"""A quota-keeping gateway for a shared API: its policy, its network code, and the lab that tests it."""
