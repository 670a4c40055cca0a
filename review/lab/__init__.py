"""Stand-ins of the second review: store, servers, callers, machines."""
