"""Stand-ins for the services of the platform, and tools for the demo, tests and measurements.

For development only.
"""
