"""The policy of the gateway: admission, endpoint choice and retries. It does no I/O and reads no clock."""
