"""The entry VM: a proxy between the platform's callers and targets."""
