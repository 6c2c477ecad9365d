"""Checks the guarantees of the fleet against the events of the simulation.

The oracle is told of calls, executions on servers, routers, configuration versions, reports and
grants, with their times. It knows nothing of how routers decide.
"""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Broken", "Oracle"]


class Broken(AssertionError):  # noqa: N818
    """A guarantee of the fleet was broken."""


@dataclass(slots=True)
class _Call:
    member: str
    router: object
    idempotent: bool
    attempt: int = 0
    executions: int = 0
    outcome: str = ""


@dataclass(slots=True)
class Oracle:
    """Records events and raises :class:`Broken` at the first broken guarantee.

    :param window_by_server: maximum number of concurrent calls of each server.
    :param concurrency_by_member: maximum number of concurrent calls of each member.
    :ivar broken: whether a guarantee has been broken.
    :ivar content_by_version: members and plans of each accepted configuration version.
    :ivar _running_executions: server and member of each running execution, by call and attempt.
    :ivar _report_sent_at: time of each report on its router's clock, by router and sequence number.
    :ivar _newest_grant_by_pool: highest epoch in which grants were sent, and the router that did.
    """

    window_by_server: dict[str, int]
    concurrency_by_member: dict[str, int]
    broken: bool = False
    content_by_version: dict[int, object] = field(default_factory=dict)
    version_by_submission: dict[str, int] = field(default_factory=dict)
    _call_by_id: dict[str, _Call] = field(default_factory=dict)
    _running_executions: dict[tuple[str, int], tuple[str, str]] = field(default_factory=dict)
    _lease_end_by_router: dict[object, float] = field(default_factory=dict)
    _report_sent_at: dict[tuple[object, int], float] = field(default_factory=dict)
    _version_by_router: dict[object, int] = field(default_factory=dict)
    _newest_grant_by_pool: dict[str, tuple[int, object]] = field(default_factory=dict)
    _ended_routers: set[object] = field(default_factory=set)

    def call_submitted(self, call: str, member: str, router: object, idempotent: bool) -> None:
        """Record that a caller has sent a call to a router."""
        self._call_by_id[call] = _Call(member, router, idempotent)

    def attempt_started(self, call: str, attempt: int) -> None:
        """Record that a router has started an attempt; answers of earlier ones are now invalid."""
        self._call_by_id[call].attempt = attempt

    def first_byte_sent(self, router: object, local_time: float) -> None:
        """Check that a router sends the first byte of a call within its portion lease.

        :param local_time: time on the router's clock.
        """
        end = self._lease_end_by_router.get(router)
        self._check(
            end is not None and local_time < end, f"{router} sent at {local_time} after {end}"
        )

    def execution_started(self, call: str, attempt: int, server: str) -> None:
        """Check the limits when a server starts to execute an attempt.

        Executions of ended routers do not count towards the limits of members.
        """
        record = self._call_by_id[call]
        record.executions += 1
        self._check(record.outcome != "not_run", f"{call} was executed after not_run")
        self._check(record.idempotent or record.executions == 1, f"{call} was executed twice")
        self._running_executions[call, attempt] = (server, record.member)
        running = Counter(name for name, _ in self._running_executions.values())[server]
        limit = self.window_by_server[server]
        self._check(running <= limit, f"{server} runs {running} calls, its window is {limit}")
        running_members = [
            member
            for (name, _), (_, member) in self._running_executions.items()
            if self._call_by_id[name].router not in self._ended_routers
        ]
        count, limit = (
            running_members.count(record.member),
            self.concurrency_by_member[record.member],
        )
        self._check(count <= limit, f"{record.member} runs {count} calls, its limit is {limit}")

    def execution_stopped(self, call: str, attempt: int) -> None:
        """Record that a server has stopped executing an attempt."""
        self._running_executions.pop((call, attempt), None)

    def call_answered(self, call: str, outcome: str, attempt: int) -> None:
        """Check the final answer to a caller.

        :param attempt: attempt that the answer belongs to; 0 if it belongs to none.
        """
        record = self._call_by_id[call]
        self._check(not record.outcome, f"{call} was answered {record.outcome}, then {outcome}")
        record.outcome = outcome
        ran = outcome == "not_run" and record.executions
        self._check(not ran, f"{call} was executed and told not_run")
        is_current_attempt = outcome != "answered" or attempt == record.attempt
        self._check(
            is_current_attempt, f"{call} got the answer of attempt {attempt}, not {record.attempt}"
        )

    def check_answered(self, call: str) -> None:
        """Check that a call sent after the last fault has been answered."""
        outcome = self._call_by_id[call].outcome
        self._check(outcome == "answered", f"{call} ended as {outcome} after all faults")

    def router_ended(self, router: object) -> None:
        """Record the end of a router process; servers continue to execute its calls."""
        self._ended_routers.add(router)

    def report_sent(self, router: object, seq: int, local_time: float) -> None:
        """Record when a router has sent a report.

        :param local_time: time on the router's clock.
        """
        self._report_sent_at[router, seq] = local_time

    def grant_sent(self, pool: str, router: object, epoch: int) -> None:
        """Check that epochs of grants never decrease and that one router grants in each epoch."""
        newest, holder = self._newest_grant_by_pool.get(pool, (0, router))
        self._check(epoch >= newest, f"{router} grants at {epoch} after {holder} did at {newest}")
        is_sole_granter = epoch > newest or holder == router
        self._check(is_sole_granter, f"{router} and {holder} grant at epoch {epoch}")
        self._newest_grant_by_pool[pool] = (epoch, router)

    def grant_received(self, router: object, report_seq: int, lease_s: float) -> None:
        """Extend the portion lease of a router that has received a grant for one of its reports."""
        end = self._report_sent_at[router, report_seq] + lease_s
        self._lease_end_by_router[router] = max(end, self._lease_end_by_router.get(router, end))

    def config_accepted(self, version: int, submission: str, content: object) -> None:
        """Check that versions accepted by the table are consecutive."""
        self._check(version == len(self.content_by_version) + 1, f"{version} is out of order")
        self.content_by_version[version] = content
        self.version_by_submission[submission] = version

    def submission_answered(self, submission: str, version: int | None) -> None:
        """Check the version reported to the operator for a submission; None means a conflict."""
        actual = self.version_by_submission.get(submission)
        self._check(actual == version, f"{submission} is {actual}, but was told {version}")

    def config_activated(self, router: object, version: int, content: object) -> None:
        """Check the version that a router activates: newer than its last one, and unaltered."""
        before = self._version_by_router.get(router, 0)
        self._check(version > before, f"{router} replaced {before} by {version}")
        self._check(content == self.content_by_version.get(version), f"{router} altered {version}")
        self._version_by_router[router] = version

    def check_recovered(self, router: object, since_s: float) -> None:
        """Check that a router has answered its calls and activated the newest version.

        :param since_s: time since the end of the last fault.
        """
        for name, call in self._call_by_id.items():
            is_finished = call.router != router or bool(call.outcome)
            self._check(is_finished, f"{name} is still unanswered {since_s} s after the last fault")
        newest = len(self.content_by_version)
        active_version = self._version_by_router.get(router, 0)
        self._check(
            active_version == newest, f"{router} is at version {active_version} of {newest}"
        )

    def _check(self, holds: bool, message: str) -> None:
        if not holds:
            self.broken = True
            raise Broken(message)
