"""Commands of the command line."""

import getpass
import json
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any

import yaml
from cyclopts import App, CycloptsError, Parameter
from returns.result import Failure

from dogwoodlever import _burn_report
from dogwoodlever._job import parse_job
from dogwoodlever._job_timeline import read_job_timeline
from dogwoodlever._merge import read_document, read_documents
from dogwoodlever._operator_client import OperatorClient
from dogwoodlever._reader import read_site
from dogwoodlever.cli_errors import (
    CliError,
    CommandRefusedError,
    OutcomeUnknownError,
    UnreachableError,
)
from dogwoodlever.errors import DogwoodleverError

CONFIRMATION_TIMEOUT_S = 5.0
CONFIRMATION_POLL_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 30.0
EXIT_USAGE = 2

app = App(
    name="dogwoodlever",
    help="Operate a dogwoodlever system through any of its daemons.",
)
data_centre = App(
    name="data-centre", help="Take data centres out of service or bring them back."
)
report = App(name="report", help="Reports for operators and managers.")
app.command(data_centre)
app.command(report)


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class Connection:
    """Connection and output options of a command.

    Attributes
    ----------
    daemon : str
        Comma-separated host:port of daemons' operators' ports.
    key : str
        Shared key of the operators.
    as_json : bool
        Print the response as JSON.
    """

    daemon: Annotated[
        str, Parameter(name="--daemon", env_var="DOGWOODLEVER_DAEMON")
    ] = "127.0.0.1:7002"
    key: Annotated[str, Parameter(name="--key", env_var="DOGWOODLEVER_KEY")] = ""
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False

    def client(self) -> OperatorClient:
        """Return a client for the daemons."""
        return OperatorClient([a.strip() for a in self.daemon.split(",")], self.key)


LOCAL = Connection()


def _print_json(document: Any) -> None:
    print(json.dumps(document, indent=2))


@app.command
def check(
    folder: Path,
    *,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
) -> None:
    """Merge and validate the settings of FOLDER without sending them."""
    result = read_site(folder)
    if isinstance(result, Failure):
        raise CommandRefusedError(str(result.failure()))
    site = result.unwrap()
    if as_json:
        _print_json({"ok": True, "site": site.site})
        return
    servers = sum(len(service.servers) for service in site.services.values())
    print(
        f"ok: site {site.site}, {len(site.data_centres)} data centres, "
        f"{len(site.workers)} workers, {servers} backend servers, "
        f"{len(site.teams)} teams"
    )


@app.command
def apply(
    folder: Path,
    *,
    expect: int | None = None,
    to: Connection = LOCAL,
) -> None:
    """Apply the settings of FOLDER as the new configuration.

    Parameters
    ----------
    folder : Path
        Folder of YAML files.
    expect : int, optional
        Revision that the change is based on; the current one by default.
    """
    result = read_site(folder)
    if isinstance(result, Failure):
        raise CommandRefusedError(str(result.failure()))
    documents = [
        (name, json.dumps(document)) for name, document in read_documents(folder)
    ]
    client = to.client()
    if expect is None:
        expect = client.get("configuration")["revision"]
    order = {
        "documents": documents,
        "expected_revision": expect,
        "by": getpass.getuser(),
    }
    response = client.post("configuration", order)
    _await_confirmation(client, response["revision"], to.as_json)


def _await_confirmation(client: OperatorClient, revision: int, as_json: bool) -> None:
    """Wait for daemons to confirm a revision and print the result."""
    if not as_json:
        print(f"accepted: revision {revision}")
    until_s = time.monotonic() + CONFIRMATION_TIMEOUT_S
    while True:
        configuration = client.get("configuration")
        unconfirmed = [
            d["member"]
            for d in configuration["daemons"]
            if not d["configuration_current"] and d["state"] != "gone"
        ]
        if configuration["revision"] > revision:
            unconfirmed = []
        if not unconfirmed or time.monotonic() > until_s:
            break
        time.sleep(CONFIRMATION_POLL_INTERVAL_S)
    confirmed = len(configuration["daemons"]) - len(unconfirmed)
    if as_json:
        _print_json(
            {"revision": revision, "confirmed": confirmed, "waiting": unconfirmed}
        )
    elif unconfirmed:
        print(f"not confirmed yet by: {', '.join(unconfirmed)}", file=sys.stderr)
    else:
        print(f"in force: confirmed by {confirmed} daemons")
    if unconfirmed:
        raise OutcomeUnknownError("accepted, but not confirmed everywhere")


@app.command
def show(*, to: Connection = LOCAL) -> None:
    """Show the current merged settings and which daemons confirmed them."""
    shown = to.client().get("configuration")
    if to.as_json:
        _print_json(shown)
        return
    print(f"# revision {shown['revision']} by {shown['changed_by'] or '-'}")
    for daemon in shown["daemons"]:
        mark = "confirmed" if daemon["configuration_current"] else "not confirmed"
        print(f"# {daemon['member']}: {daemon['state']}, {mark}")
    print(yaml.safe_dump(shown["merged"], sort_keys=False), end="")


@data_centre.command
def out(name: str, *, to: Connection = LOCAL) -> None:
    """Take data centre NAME out of service."""
    _set_data_centre_out(name, True, to)


@data_centre.command(name="in")
def bring_in(name: str, *, to: Connection = LOCAL) -> None:
    """Bring data centre NAME back into service."""
    _set_data_centre_out(name, False, to)


def _set_data_centre_out(name: str, is_out: bool, to: Connection) -> None:
    client = to.client()
    order = {"out": is_out, "by": getpass.getuser()}
    response = client.post(f"data-centres/{name}", order)
    _await_confirmation(client, response["revision"], to.as_json)


@data_centre.command(name="list")
def list_centres(*, to: Connection = LOCAL) -> None:
    """List the data centres and whether they are in service."""
    centres = to.client().get("data-centres")
    if to.as_json:
        _print_json(centres)
        return
    for name, centre in centres.items():
        print(f"{name:<16} {centre['region']:<16} {'out' if centre['out'] else 'in'}")


@app.command
def submit(files: list[Path], *, to: Connection = LOCAL) -> None:
    """Submit the jobs in FILES; a job that is already known is not run again."""
    client = to.client()
    jobs = [_read_job_file(file) for file in files]
    responses = [client.post("jobs", job) for job in jobs]
    if to.as_json:
        _print_json(responses)
        return
    for response in responses:
        print(f"{response['job']}: {'accepted' if response['accepted'] else 'known'}")


def _read_job_file(file: Path) -> dict:
    document = read_document(file)
    parsed = parse_job(document, file.name)
    if isinstance(parsed, Failure):
        raise CommandRefusedError(str(parsed.failure()))
    return document


@app.command(name="import")
def import_jobs(file: Path, *, to: Connection = LOCAL) -> None:
    """Import the jobs listed under ``jobs`` in FILE from an older scheduler.

    Importing again is safe: jobs with known ids are skipped.
    """
    rows = read_document(file).get("jobs")
    if not isinstance(rows, list) or not rows:
        raise CommandRefusedError(f"{file.name}: jobs: must be a list of jobs")
    faults = []
    for index, row in enumerate(rows):
        parsed = parse_job(row, f"{file.name}: jobs[{index}]")
        if isinstance(parsed, Failure):
            faults.append(str(parsed.failure()))
    if faults:
        raise CommandRefusedError("\n".join(faults))
    client = to.client()
    responses = [client.post("jobs", row) for row in rows]
    accepted = sum(response["accepted"] for response in responses)
    if to.as_json:
        _print_json(responses)
        return
    print(f"{accepted} accepted, {len(responses) - accepted} known already")


@app.command
def cancel(jobs: list[str], *, to: Connection = LOCAL) -> None:
    """Cancel JOBS."""
    response = to.client().post("cancel", {"jobs": jobs})
    if to.as_json:
        _print_json(response)
        return
    print(f"cancelling: {', '.join(response['cancelling'])}")


@app.command(name="jobs")
def list_jobs(job: str = "", *, to: Connection = LOCAL) -> None:
    """List jobs that are not archived, or show JOB."""
    path = f"jobs/{job}" if job else "jobs"
    rows = to.client().get(path)
    if to.as_json:
        _print_json(rows)
        return
    for row in rows:
        states = ", ".join(f"{n} {s}" for s, n in sorted(row["states"].items()))
        print(f"{row['job']:<24} {row['cell']:<10} {states}")


@app.command
def request(
    url: str,
    body: str = "",
    *,
    method: str = "POST",
    idempotency_key: str = "",
    timeout_s: float | None = None,
) -> None:
    """Send one request to URL on a daemon's callers' port.

    Parameters
    ----------
    url : str
        ``http://host:port/service/operation``.
    body : str
        Request body.
    method : str
        HTTP method.
    idempotency_key : str
        A non-idempotent operation runs at most once for each key.
    timeout_s : float, optional
        Timeout of the request.
    """
    call = urllib.request.Request(url, data=body.encode(), method=method)
    if idempotency_key:
        call.add_header("Idempotency-Key", idempotency_key)
    if timeout_s is not None:
        call.add_header("Request-Timeout", str(timeout_s))
    try:
        with urllib.request.urlopen(call, timeout=REQUEST_TIMEOUT_S) as response:
            _print_response(response)
    except urllib.error.HTTPError as error:
        _print_response(error)
        if error.headers.get("Dogwoodlever-Outcome") == "unknown":
            raise OutcomeUnknownError(f"status {error.code}") from error
        raise CommandRefusedError(f"status {error.code}") from error
    except urllib.error.URLError as error:
        raise UnreachableError(f"{url}: {error.reason}") from error


def _print_response(response) -> None:
    headers = response.headers
    for name in ("Dogwoodlever-Outcome", "Dogwoodlever-Request", "Retry-After"):
        if headers.get(name):
            print(f"{name}: {headers[name]}")
    print(response.read().decode(errors="replace"), end="")


@app.command
def why(item: str, *, log: list[Path] | None = None, to: Connection = LOCAL) -> None:
    """Explain where and when a request, task or job ran, and why.

    Parameters
    ----------
    item : str
        Id of the request, task or job.
    log : list of Path
        Logs of the platform's daemons; the job's timeline is read from them
        instead of from a daemon.
    """
    if log:
        timeline = read_job_timeline(item, _read_log_lines(log))
        if to.as_json:
            _print_json(timeline.document())
        else:
            print(timeline.text())
        return
    document = to.client().get(f"why/{item}")
    if to.as_json:
        _print_json(document)
        return
    print(
        _format_task_history(document)
        if "task" in document
        else _format_request_trace(document)
    )


def _read_log_lines(files: list[Path]):
    for file in files:
        try:
            with open(file, encoding="utf-8", errors="replace") as lines:
                yield from lines
        except OSError as error:
            raise CliError(f"log {file}: {error.strerror}") from error


def _format_time(at_s: float) -> str:
    return datetime.fromtimestamp(at_s, UTC).strftime("%H:%M:%S.%f")[:-3]


def _format_request_trace(trace: dict) -> str:
    lines = [
        f"request {trace['request_id']}: {trace['service']}/{trace['operation']} "
        f"for {trace['caller']}, entered at {trace['daemon']}",
        f"  {_format_time(trace['arrived_at_s'])} arrived",
    ]
    for number, attempt in enumerate(trace["attempts"], 1):
        lines.append(
            f"  {_format_time(attempt['started_at_s'])} attempt {number} on "
            f"{attempt['server']}: {attempt['result']}"
        )
    ended = _format_time(trace["ended_at_s"]) if trace["ended_at_s"] else "not ended"
    lines.append(f"  {ended} {trace['outcome']}: {trace['reason'] or '-'}")
    return "\n".join(lines)


def _format_task_history(task: dict) -> str:
    where = f" on {task['worker']}" if task["worker"] else ""
    lines = [f"task {task['task']}: {task['state']}{where}"]
    for entry in task["history"]:
        place = f" on {entry['worker']}" if entry["worker"] else ""
        lines.append(
            f"  {_format_time(entry['at_s'])} {entry['event']}, attempt "
            f"{entry['attempt']}{place}: {entry['reason']}"
        )
    return "\n".join(lines)


@report.command
def burn(
    *,
    to: Connection = LOCAL,
    page: Path | None = None,
) -> None:
    """Report error budget burn by service, data centre and time window.

    Parameters
    ----------
    page : Path, optional
        Also write the report as an HTML page to this file.
    """
    rows = to.client().get("burn")
    if page is not None:
        generated_at = datetime.now(UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
        page.write_text(_burn_report.as_html(rows, generated_at))
    if to.as_json:
        _print_json(rows)
        return
    print(_burn_report.as_text(rows))


@app.command
def status(*, to: Connection = LOCAL) -> None:
    """Show the state, peers, shares and cells of one daemon."""
    document = to.client().get("status")
    if to.as_json:
        _print_json(document)
        return
    print(
        f"{document['daemon']}: {document['state']}, configuration revision "
        f"{document['configuration_revision']}, store answered "
        f"{document['store_age_s']} s ago, "
        f"{'may' if document['tenure'] else 'may not'} use its shares"
    )
    for daemon in document["daemons"]:
        print(f"  {daemon['member']:<28} {daemon['state']:<8} {daemon['data_centre']}")
    for name, service in document["services"].items():
        print(f"  service {name}: " + ", ".join(f"{k} {v}" for k, v in service.items()))
    print(f"  cells owned: {', '.join(document['cells_owned']) or 'none'}")


@app.command
def leave(*, to: Connection = LOCAL) -> None:
    """Gracefully stop the daemon that receives the command."""
    response = to.client().post("leave", {})
    print(f"leaving: {response['leaving']}")


def run() -> int:
    """Run the command line; return the exit status."""
    try:
        app(exit_on_error=False, result_action="return_none")
    except CycloptsError:
        return EXIT_USAGE
    except CliError as error:
        print(f"dogwoodlever: {error}", file=sys.stderr)
        return error.exit_status
    except DogwoodleverError as error:
        print(f"dogwoodlever: {error}", file=sys.stderr)
        return 1
    return 0
