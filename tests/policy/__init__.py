"""Tests of the policy, from scripted events."""
