"""Command line for operators of a router fleet."""
