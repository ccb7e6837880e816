"""The lab: an emulator of the fleet, and real gateways with stand-ins. `run` imports none of it."""
