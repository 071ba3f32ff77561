"""Errors of the state service's client."""

from __future__ import annotations

from collections.abc import Sequence


class StateServiceError(Exception):
    """The state service gave no usable answer; a change may or may not have happened.

    ``status`` is the HTTP status of the answer, or None where there was none.
    """

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message)
        self.status = status


class UnavailableError(StateServiceError):
    """The request was certainly not executed.

    The service answered 503 or 429, or this controller's rate limiter did not send the request
    (``status`` is then None).
    """


class RequestRejectedError(StateServiceError):
    """The service answered 400; the request was certainly not executed.

    A value or the transaction is too large for the service's current limits, which may be lower
    than at the last write.
    """


class ConflictError(Exception):
    """A transaction's conditions did not hold, so none of its changes was made.

    ``failed_keys`` are the keys whose version differs; empty if the service did not name them.
    """

    def __init__(self, failed_keys: Sequence[str] = ()) -> None:
        super().__init__(f"conflict on {', '.join(failed_keys) or 'unknown keys'}")
        self.failed_keys = tuple(failed_keys)


class LeaseExpiredError(Exception):
    """The lease has expired or was revoked.

    ``lease`` is its id; None if a transaction used several leases.
    """

    def __init__(self, lease: int | None = None) -> None:
        super().__init__("the lease has expired" if lease is None else f"lease {lease} has expired")
        self.lease = lease


class RevisionCompactedError(Exception):
    """The service no longer keeps the changes after ``revision``: read the keys again."""

    def __init__(self, prefix: str, revision: int) -> None:
        super().__init__(f"changes under {prefix!r} after revision {revision} are no longer kept")
        self.prefix = prefix
        self.revision = revision
