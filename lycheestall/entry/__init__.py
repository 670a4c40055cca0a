"""The entry VM's part on the platform's machines: callers to targets."""
