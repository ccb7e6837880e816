"""Tests of the lab."""
