"""Stateful fuzzer of the decision code: a simulated fleet under faults and an oracle."""
