"""Tests of the load tests."""
