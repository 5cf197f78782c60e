"""Clients of the key-value service and the host list of the platform."""
