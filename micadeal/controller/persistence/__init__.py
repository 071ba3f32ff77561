"""Prepares the leader's writes to the state service, in batches and in order of priority.

``record_writer`` chooses the next batches and processes their outcomes.  Each other module prepares
one kind of record; ``writer_context`` holds the state that these modules share.  Nothing here does
any I/O: the leader's outbound calls commit the batches.
"""
