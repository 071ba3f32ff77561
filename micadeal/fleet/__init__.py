"""Machines: what is known of them, the cloud that rents them, how many are wanted."""
