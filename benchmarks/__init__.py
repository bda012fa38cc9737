"""Benchmarks and long checks that take too long for CI; each module is a program."""
