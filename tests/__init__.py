"""Tests of the gateway and its lab; the folders mirror the package."""
