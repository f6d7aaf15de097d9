"""The rules of a soak run, checked on the records of clients, servers and processes."""

from ryelock.testing.checks import Findings, check_at_most_once, check_bytes
from ryelock.testing.soak.clients import CLIENT_TIMEOUT_SECONDS, SoakRequest
from ryelock.testing.soak.processes import Supervisor
from ryelock.testing.soak.servers import Arrival, Arrivals
from ryelock.testing.stand_ins.callers import COMPLETE, NO_CONNECTION
from ryelock.testing.stand_ins.servers import Objects, ServedRequest

MAX_CROSSING_SECONDS = 3.0
"""A request that crosses an edge's close of an idle connection ends within this time. A busy
machine delays the edge and this process; the bench holds 0.2 s, on a clock of its own."""
MIN_SERVER_ERROR = 500
ENDS = "ends of processes"


class RequestJudge:
    """Checks how requests ended, beside what reached the servers."""

    __slots__ = ("arrivals", "findings", "supervisor")

    def __init__(self, findings: Findings, supervisor: Supervisor, arrivals: Arrivals) -> None:
        """Create the judge; violations are added to `findings`."""
        self.findings = findings
        self.supervisor = supervisor
        self.arrivals = arrivals

    def check(self, request: SoakRequest) -> None:
        """Check one request."""
        record = request.record
        if record.ending == NO_CONNECTION:
            return
        if self.supervisor.excuses(request.process, record.sent_at, request.ended_at):
            return
        if request.ended_at - record.sent_at >= CLIENT_TIMEOUT_SECONDS:
            self.add("held", request, f"for {request.ended_at - record.sent_at:.1f} s")
        arrivals = self.arrivals.get(record.identity, [])
        if record.ending != COMPLETE:
            self.check_lost(request, arrivals)
        else:
            self.check_answered_in_place(request, arrivals)

    def check_lost(self, request: SoakRequest, arrivals: list[Arrival]) -> None:
        """Check a request whose connection ended without a complete answer."""
        self.findings.count_check("no answer")
        if arrivals and not any(arrival.server_closed for arrival in arrivals):
            self.add("lost", request, "was passed on to a server")
        elif not arrivals and (request.ended_at - request.record.sent_at > MAX_CROSSING_SECONDS):
            self.add("lost", request, "was neither answered nor passed on")

    def check_answered_in_place(self, request: SoakRequest, arrivals: list[Arrival]) -> None:
        """Check that no edge answered an error of its own while a server worked."""
        self.findings.count_check("answered")
        record = request.record
        if record.status < MIN_SERVER_ERROR:
            return
        at_work = [arrival for arrival in arrivals if not arrival.server_closed]
        if at_work and record.method != "POST":
            self.add("answered in place", request, f"got {record.status} though a server worked")

    def add(self, rule: str, request: SoakRequest, text: str) -> None:
        """Add a violation of a request."""
        record = request.record
        self.findings.add_violation(
            rule,
            f"{record.method} {record.identity} at {request.process}, sent {record.sent_at:.3f}, "
            f"ended {request.ended_at:.3f} with {record.ending or record.status}: {text}",
        )


def judge(
    requests: list[SoakRequest],
    arrivals: Arrivals,
    history: list[ServedRequest],
    objects: dict[str, Objects],
    routes: dict[str, str],
    supervisor: Supervisor,
) -> Findings:
    """Return the findings of a run.

    Args:
        requests: all requests of clients.
        arrivals: all requests at servers, by identity.
        history: what servers ran.
        objects: objects by service.
        routes: service by path.
        supervisor: the supervisor of the processes.
    """
    findings = Findings()
    records = [request.record for request in requests]
    check_at_most_once(findings, records, history)
    check_bytes(findings, records, objects, routes)
    request_judge = RequestJudge(findings, supervisor, arrivals)
    for request in requests:
        request_judge.check(request)
    for fault in supervisor.faults + supervisor.task_faults():
        findings.add_violation("process", fault)
    findings.count_check(ENDS, supervisor.ends)
    return findings
