"""Stand-ins of the platform, and tools for demo, tests and measurements. Development only."""
