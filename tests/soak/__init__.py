"""Seeded faults on real controller processes over loopback, checked from outside.

The controllers are the program as it is deployed.  State service, cloud, workers and users are the
fakes of the tests in one process of their own, and all messages pass over real sockets through
relays that apply the faults of the histories in memory (``tests/fakes/fault_histories.py``).
"""
