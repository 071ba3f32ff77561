"""Faults of seeded histories, by what fails: controllers, the state service, machines, requests."""
