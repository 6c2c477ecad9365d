"""Adapters between the decision code of parsleyrudder and the network."""
