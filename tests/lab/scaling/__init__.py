"""Tests of the measured costs and the capacity page."""
