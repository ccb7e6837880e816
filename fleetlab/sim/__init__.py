"""Discrete events in simulated time: models of all parties round hollow gateways that run the real module."""
