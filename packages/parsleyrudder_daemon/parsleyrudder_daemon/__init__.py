"""The router daemon: tasks around the decision code, and the application object."""
