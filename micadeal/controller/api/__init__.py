"""Requests of users: submission, status and cancellation of jobs.

``jobs`` holds what the controller uses.  Each request has a module of its own; they share
``known_answers`` (what this controller remembers), ``job_reader`` (what is recorded of a job),
``dependencies`` and ``confirmation`` (when a cancellation may be answered).
"""
