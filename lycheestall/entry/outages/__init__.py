"""What VMs know and grant while the store is unavailable."""
