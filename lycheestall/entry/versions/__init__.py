"""Which software versions the targets of each service run and have run."""
