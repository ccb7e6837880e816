"""Measures the costs of the real code at several sizes, and calculates the capacity page from them."""
