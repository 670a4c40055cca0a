"""Quotas of client accounts, which all VMs keep together."""
