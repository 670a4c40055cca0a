"""Stand-ins of the platform, its runners and clients for the review."""
