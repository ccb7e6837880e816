"""Tests of the policy with scripted events."""
