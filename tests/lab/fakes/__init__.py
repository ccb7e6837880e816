"""Tests of the fakes."""
