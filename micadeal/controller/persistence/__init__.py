"""What the leader writes to the key-value store, and in which order.

``record_writer`` chooses the next batches and takes their outcomes.  Each other module prepares
one kind of record; ``writer_context`` holds what these modules share.  Nothing here does any input
or output: batches are committed by the leader's outbound calls.
"""
