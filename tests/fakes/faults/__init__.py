"""Faults of seeded histories: of controllers, the state service, machines and user requests."""
