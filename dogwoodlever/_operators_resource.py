"""HTTP resource of the operators' port: JSON, authorized by a shared key."""

import hmac
from typing import Annotated, Any

import msgspec
from msgspec import Meta
from returns.result import Failure
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from dogwoodlever import _record_keys as keys
from dogwoodlever._cell_assignment import cell_for_job, cell_names
from dogwoodlever._job import check_fits, parse_job
from dogwoodlever._logs import log_event
from dogwoodlever._node import Node
from dogwoodlever._records import encode_record
from dogwoodlever._reports import Reports
from dogwoodlever.batch_errors import JobRefusedError
from dogwoodlever.configuration_errors import (
    ConfigurationConflictError,
    ConfigurationError,
)
from dogwoodlever.platform_errors import StoreUnavailableError
from dogwoodlever.settings_errors import SettingsError

STORE_TIMEOUT_S = 5.0
JobIds = Annotated[list[str], Meta(min_length=1, max_length=10_000)]


class ApplyRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Request body to replace the configuration documents."""

    documents: list[tuple[str, str]]
    expected_revision: int
    by: str = ""


class DataCentreRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Request body to take a data centre out of service or bring it back."""

    out: bool
    by: str = ""


class CancelRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Request body to cancel jobs."""

    jobs: JobIds


class JsonResponse(msgspec.Struct):
    """Status and JSON document of a response."""

    status: int
    document: Any


class OperatorsResource(Resource):
    """Serve operators' commands."""

    isLeaf = True

    def __init__(self, node: Node, reports: Reports) -> None:
        super().__init__()
        self._node = node
        self._reports = reports
        self._cancel_count = 0
        self._routes = {
            (b"GET", "status"): self._status,
            (b"GET", "configuration"): self._configuration,
            (b"POST", "configuration"): self._apply,
            (b"GET", "data-centres"): self._centres,
            (b"POST", "data-centres"): self._set_centre,
            (b"POST", "jobs"): self._submit,
            (b"GET", "jobs"): self._jobs,
            (b"POST", "cancel"): self._cancel,
            (b"GET", "why"): self._why,
            (b"GET", "burn"): self._burn,
            (b"POST", "leave"): self._leave,
        }

    def render(self, request):
        """Check the key and run one command."""
        if not self._is_authorized(request):
            address = request.getClientAddress()
            log_event("operator.refused", host=address.host, path=request.path.decode())
            return _set_response(
                request, JsonResponse(401, {"error": "missing or wrong key"})
            )
        parts = request.path.decode("ascii", "replace").strip("/").split("/", 1)
        route = self._routes.get((request.method, parts[0]))
        if route is None:
            response = JsonResponse(404, {"error": f"no command {request.path!r}"})
            return _set_response(request, response)
        rest = parts[1] if len(parts) > 1 else ""
        handled = self._handle(route, rest, request.content.read())
        handled.addCallback(_finish_response, request)
        return NOT_DONE_YET

    def _is_authorized(self, request) -> bool:
        header = request.getHeader("Authorization") or ""
        expected = f"Bearer {self._node.settings.operator_key}"
        return hmac.compare_digest(header.encode(), expected.encode())

    @inlineCallbacks
    def _handle(self, route, rest: str, body: bytes):
        """Run one command, and turn its errors into responses."""
        try:
            response = yield route(rest, body)
            return response
        except SettingsError as error:
            return JsonResponse(422, {"error": "refused", "faults": _faults(error)})
        except ConfigurationConflictError as error:
            return JsonResponse(409, {"error": str(error)})
        except (ConfigurationError, JobRefusedError) as error:
            return JsonResponse(422, {"error": str(error)})
        except msgspec.DecodeError as error:
            return JsonResponse(400, {"error": f"body: {error}"})
        except StoreUnavailableError as error:
            document = {"error": f"store unavailable, outcome unknown: {error}"}
            return JsonResponse(503, document)
        except Exception as error:
            log_event("operator.fault", command=route.__name__, error=repr(error))
            return JsonResponse(500, {"error": "internal error"})

    def _status(self, _rest: str, _body: bytes) -> JsonResponse:
        node = self._node
        now_s = node.clock.seconds()
        document = {
            "daemon": node.member_id,
            "state": node.state,
            "store_age_s": _rounded(node.membership.lease.contact.age_s(now_s)),
            "tenure": node.membership.has_valid_lease(),
            "configuration_revision": node.configuration.active.record.revision,
            "daemons": self._reports.daemons(),
            "services": {
                name: {
                    "slots_held": role.slot_pool.held_total(),
                    "slots_free": role.slot_pool.free_total(),
                    "queued": len(role.dispatcher.queue),
                    "in_flight": role.dispatcher.in_flight(),
                }
                for name, role in sorted(node.services.items())
            },
            "cells_owned": [c for c, r in sorted(node.cells.items()) if r.cell],
        }
        return JsonResponse(200, document)

    def _configuration(self, _rest: str, _body: bytes) -> JsonResponse:
        active = self._node.configuration.active
        document = {
            "revision": active.record.revision,
            "changed_by": active.record.changed_by,
            "changed_at_s": active.record.changed_at_s,
            "documents": active.record.documents,
            "out": active.record.out,
            "merged": msgspec.to_builtins(active.site) if active.site else None,
            "daemons": self._reports.daemons(),
        }
        return JsonResponse(200, document)

    @inlineCallbacks
    def _apply(self, _rest: str, body: bytes):
        command = msgspec.json.decode(body, type=ApplyRequest)
        documents = tuple((name, text) for name, text in command.documents)
        applied = self._node.configuration.apply(
            documents, command.by, command.expected_revision
        )
        revision = yield self._with_store_timeout(applied)
        return JsonResponse(200, {"revision": revision})

    @inlineCallbacks
    def _with_store_timeout(self, deferred):
        """Bound the wait for the store; the write may still take effect later."""
        try:
            result = yield deferred.addTimeout(STORE_TIMEOUT_S, self._node.clock)
        except DeferredTimeoutError as error:
            raise StoreUnavailableError("no response before the timeout") from error
        return result

    def _centres(self, _rest: str, _body: bytes) -> JsonResponse:
        site = self._node.configuration.active.site
        centres = site.data_centres if site else {}
        document = {
            name: {"region": centre.region, "out": centre.out}
            for name, centre in sorted(centres.items())
        }
        return JsonResponse(200, document)

    @inlineCallbacks
    def _set_centre(self, rest: str, body: bytes):
        command = msgspec.json.decode(body, type=DataCentreRequest)
        changed = self._node.configuration.set_data_centre(
            rest, command.out, command.by
        )
        revision = yield self._with_store_timeout(changed)
        log_event("data_centre.set", data_centre=rest, out=command.out, by=command.by)
        return JsonResponse(200, {"revision": revision})

    @inlineCallbacks
    def _submit(self, _rest: str, body: bytes):
        """Accept a job by storing it in the inbox of its cell, unless it is known."""
        parsed = parse_job(msgspec.json.decode(body), "job")
        if isinstance(parsed, Failure):
            raise parsed.failure()
        job = parsed.unwrap()
        site = self._node.configuration.active.site
        if site is None:
            raise JobRefusedError("no configuration is active yet")
        check_fits(job, site)
        cell = cell_for_job(job, site)
        follower = self._node.follower
        known = yield self._with_store_timeout(self._reports.has_job(job.job, cell))
        if known:
            return JsonResponse(200, {"job": job.job, "accepted": False, "known": True})
        written = yield self._with_store_timeout(
            follower.swap(keys.job_inbox_key(cell, job.job), encode_record(job), 0)
        )
        accepted = written == "committed"
        log_event("job.submitted", job=job.job, accepted=accepted)
        return JsonResponse(
            200, {"job": job.job, "accepted": accepted, "known": not accepted}
        )

    @inlineCallbacks
    def _cancel(self, _rest: str, body: bytes):
        command = msgspec.json.decode(body, type=CancelRequest)
        site = self._node.configuration.active.site
        value = encode_record(command.jobs)
        for cell in cell_names(site) if site else ():
            self._cancel_count += 1
            number = f"{self._node.member_id}-{self._cancel_count}"
            key = keys.cancel_inbox_key(cell, number)
            yield self._with_store_timeout(self._node.follower.swap(key, value, 0))
        return JsonResponse(200, {"cancelling": command.jobs})

    @inlineCallbacks
    def _jobs(self, rest: str, _body: bytes):
        if rest:
            summary = yield self._reports.archived_job(rest)
            if summary is not None:
                return JsonResponse(200, [summary])
        summaries = yield self._reports.jobs()
        if rest:
            summaries = [s for s in summaries if s.job == rest]
            if not summaries:
                return JsonResponse(404, {"error": f"no job {rest!r}"})
        return JsonResponse(200, summaries)

    @inlineCallbacks
    def _why(self, rest: str, _body: bytes):
        found = yield self._reports.request_trace(rest)
        if found is None:
            found = yield self._reports.task_history(rest)
        if found is None:
            return JsonResponse(404, {"error": f"no request or task {rest!r} is known"})
        return JsonResponse(200, msgspec.Raw(found))

    @inlineCallbacks
    def _burn(self, _rest: str, _body: bytes):
        burn_rows = yield self._reports.burn()
        rows = [msgspec.to_builtins(row) | {"burn": row.burn} for row in burn_rows]
        return JsonResponse(200, rows)

    def _leave(self, _rest: str, _body: bytes) -> JsonResponse:
        self._node.clock.callLater(0, self._node.stop)
        return JsonResponse(202, {"leaving": self._node.member_id})


def _rounded(age_s: float) -> float | None:
    return round(age_s, 3) if age_s < 1e8 else None


def _faults(error: SettingsError) -> list[dict]:
    return [{"where": f.where, "what": f.what} for f in error.faults]


def _set_response(request, response: JsonResponse) -> bytes:
    request.setResponseCode(response.status)
    request.setHeader(b"Content-Type", b"application/json")
    return msgspec.json.encode(response.document)


def _finish_response(response: JsonResponse, request) -> None:
    if not request.is_open:
        return
    body = _set_response(request, response)
    request.setHeader(b"Content-Length", b"%d" % len(body))
    request.write(body)
    request.finish()
