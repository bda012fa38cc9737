"""Measurements that take too long for CI; each is a program of its own."""
