"""Selection of the target that runs a request."""
