"""The HTTP interface to users, workers and operators: routes requests to handlers."""

from __future__ import annotations

from http import HTTPStatus

from micadeal.controller.api.answer_log import AnswerLog, UserRequest
from micadeal.controller.api.endpoints import Endpoint, dispatch
from micadeal.controller.api.heartbeats import HeartbeatApi
from micadeal.controller.api.jobs import JobApi
from micadeal.controller.api.operators import OperatorApi
from micadeal.controller.api.readiness import Readiness
from micadeal.controller.api.settings import SettingsApi
from micadeal.http.message import Answer, Request
from micadeal.jobs.validate import job_id_of


class PublicApi:
    """Routes requests; refuses users' requests while this controller must not serve them."""

    def __init__(
        self,
        heartbeats: HeartbeatApi,
        jobs: JobApi,
        readiness: Readiness,
        operators: OperatorApi,
        settings: SettingsApi,
        answer_log: AnswerLog,
    ) -> None:
        self._jobs = jobs
        self._readiness = readiness
        self._answer_log = answer_log
        self._endpoints: dict[str, Endpoint] = {
            "/checkin": {"POST": heartbeats.receive},
            "/work": {"POST": self._submit},
            "/ready": {"GET": readiness.check},
            "/overview": {"GET": operators.overview},
            "/settings": {"GET": settings.show, "POST": settings.apply},
        }
        # Endpoints of paths that contain a job id.
        self._job_status: Endpoint = {"GET": self._status}
        self._job_cancellation: Endpoint = {"POST": self._cancel}
        self._job_explanation: Endpoint = {"GET": operators.explain}

    async def serve(self, request: Request) -> Answer:
        """Answer one request."""
        endpoint = self._endpoints.get(request.path) or self._job_endpoint(request.path)
        return await dispatch(endpoint, request)

    def _job_endpoint(self, path: str) -> Endpoint | None:
        match path.split("/"):
            case [_, "work", _]:
                return self._job_status
            case [_, "work", _, "abort"]:
                return self._job_cancellation
            case [_, "why", _]:
                return self._job_explanation
        return None

    async def _submit(self, request: Request) -> Answer:
        reply = self._readiness.refusal() or await self._jobs.submit(request.body)
        refused = reply.status >= HTTPStatus.BAD_REQUEST
        job_id = job_id_of(request.body) if refused else None
        self._answer_log.record(UserRequest.SUBMISSION, job_id, reply)
        return reply

    async def _status(self, request: Request) -> Answer:
        job_id = _job_id(request)
        reply = self._readiness.refusal() or await self._jobs.status(job_id)
        self._answer_log.record(UserRequest.STATUS, job_id, reply)
        return reply

    async def _cancel(self, request: Request) -> Answer:
        job_id = _job_id(request)
        reply = self._readiness.refusal() or await self._jobs.cancel(job_id)
        self._answer_log.record(UserRequest.CANCELLATION, job_id, reply)
        return reply


def _job_id(request: Request) -> str:
    return request.path.split("/")[2]
