"""Rule files: parsing, printing, lookup, publication and the CLI."""
