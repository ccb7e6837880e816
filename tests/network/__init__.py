"""Tests of the network code over loopback sockets."""
