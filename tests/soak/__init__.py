"""Seeded faults on real controller processes over loopback, checked from outside.

The controllers run the program as it is deployed.  The state service, the cloud, the workers and
the users are the fakes of the tests; they share one separate process.  All messages pass over real
sockets through relays, which apply the same faults as the in-memory histories
(``tests/fakes/fault_histories.py``).
"""
