"""The measurement cases that benchmarks/run starts by name."""
