"""The HTTP interfaces of a controller: to users, workers, operators and peers.

``public`` and ``peers`` route the requests.  ``jobs`` is the entry point to the users' requests:
submission, status and cancellation have a module each.  These share ``known_answers`` (what this
controller remembers), ``job_reader`` (what the state service stores about a job),
``dependencies`` and ``confirmation`` (when users may be answered that a job is cancelled).
"""
