"""Machines: their state, the client of the cloud's API, boot times and instance offers."""
