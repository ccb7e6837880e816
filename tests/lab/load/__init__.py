"""Tests of the load package."""
