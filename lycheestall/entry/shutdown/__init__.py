"""What a VM still takes on, and how it ends, while it shuts down."""
