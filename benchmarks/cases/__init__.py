"""Benchmark cases of benchmarks/run."""
