"""Stateful fuzzer of the decision code: a virtual fleet under faults, and an oracle of promises."""
