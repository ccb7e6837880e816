"""Load tests of real gateway processes on loopback."""
