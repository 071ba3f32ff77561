"""Requests of users: submission, status and cancellation of jobs."""
