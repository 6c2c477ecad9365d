"""The promises of the fleet, checked against what happens in the virtual world.

The oracle knows calls, executions at servers, routers, the table, the lists and the time; it does
not know how routers decide.
"""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Broken", "Oracle"]


class Broken(AssertionError):  # noqa: N818
    """A promise was broken."""


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
    """Watches the world and raises :class:`Broken` at the first broken promise.

    :param window_by_server: calls that each server may run at the same time.
    :param concurrency_by_member: calls that each member may run at the same time.
    """

    window_by_server: dict[str, int]
    concurrency_by_member: dict[str, int]
    broken: bool = False
    lists_by_version: dict[int, object] = field(default_factory=dict)
    version_by_submission: dict[str, int] = field(default_factory=dict)
    _call_by_id: dict[str, _Call] = field(default_factory=dict)
    _running: dict[tuple[str, int], tuple[str, str]] = field(default_factory=dict)
    _lease_end: dict[object, float] = field(default_factory=dict)
    _sent_at: dict[tuple[object, int], float] = field(default_factory=dict)
    _version: dict[object, int] = field(default_factory=dict)
    _granting: dict[str, tuple[int, object]] = field(default_factory=dict)
    _ended_routers: set[object] = field(default_factory=set)

    def submitted(self, call: str, member: str, router: object, idempotent: bool) -> None:
        """A caller gave a call to a router."""
        self._call_by_id[call] = _Call(member, router, idempotent)

    def attempted(self, call: str, attempt: int) -> None:
        """A router began an attempt, which makes the earlier ones void."""
        self._call_by_id[call].attempt = attempt

    def first_byte(self, router: object, local: float) -> None:
        """A router sends the first byte of a call at a time of its own clock."""
        end = self._lease_end.get(router)
        self._check(end is not None and local < end, f"{router} sent at {local} after {end}")

    def executed(self, call: str, attempt: int, server: str) -> None:
        """A server begins to execute an attempt."""
        known = self._call_by_id[call]
        known.executions += 1
        self._check(known.outcome != "not_run", f"{call} was executed after not_run")
        self._check(known.idempotent or known.executions == 1, f"{call} was executed twice")
        self._running[call, attempt] = (server, known.member)
        running = Counter(name for name, _ in self._running.values())[server]
        limit = self.window_by_server[server]
        self._check(running <= limit, f"{server} runs {running} calls, its window is {limit}")
        alive = [
            member
            for (name, _), (_, member) in self._running.items()
            if self._call_by_id[name].router not in self._ended_routers
        ]
        count, limit = alive.count(known.member), self.concurrency_by_member[known.member]
        self._check(count <= limit, f"{known.member} runs {count} calls, its limit is {limit}")

    def stopped(self, call: str, attempt: int) -> None:
        """A server has stopped to execute an attempt."""
        self._running.pop((call, attempt), None)

    def answered(self, call: str, outcome: str, attempt: int) -> None:
        """A caller gets the final answer, which belongs to an attempt (0: to none)."""
        known = self._call_by_id[call]
        self._check(not known.outcome, f"{call} was answered {known.outcome}, then {outcome}")
        known.outcome = outcome
        ran = outcome == "not_run" and known.executions
        self._check(not ran, f"{call} was executed and told not_run")
        own = outcome != "answered" or attempt == known.attempt
        self._check(own, f"{call} got the answer of attempt {attempt}, not {known.attempt}")

    def served(self, call: str) -> None:
        """A call that was sent after all faults should have been answered by now."""
        outcome = self._call_by_id[call].outcome
        self._check(outcome == "answered", f"{call} ended as {outcome} after all faults")

    def router_ended(self, router: object) -> None:
        """A router's process ended; its callers are gone, but servers go on with its calls."""
        self._ended_routers.add(router)

    def report_sent(self, router: object, seq: int, local: float) -> None:
        """A router sends a report at a time of its own clock."""
        self._sent_at[router, seq] = local

    def grant_sent(self, pool: str, router: object, epoch: int) -> None:
        """A coordinator uses its right to grant."""
        newest, holder = self._granting.get(pool, (0, router))
        self._check(epoch >= newest, f"{router} grants at {epoch} after {holder} did at {newest}")
        same = epoch > newest or holder == router
        self._check(same, f"{router} and {holder} grant at epoch {epoch}")
        self._granting[pool] = (epoch, router)

    def grant_got(self, router: object, answers: int, lease_s: float) -> None:
        """A router receives a grant that answers one of its own reports."""
        end = self._sent_at[router, answers] + lease_s
        self._lease_end[router] = max(end, self._lease_end.get(router, end))

    def accepted(self, version: int, submission: str, lists: object) -> None:
        """The table accepts a version."""
        self._check(version == len(self.lists_by_version) + 1, f"{version} is out of order")
        self.lists_by_version[version] = lists
        self.version_by_submission[submission] = version

    def told(self, submission: str, version: int | None) -> None:
        """An operator is told the version of a submission, or None for a conflict."""
        true = self.version_by_submission.get(submission)
        self._check(true == version, f"{submission} is {true}, but was told {version}")

    def in_force(self, router: object, version: int, lists: object) -> None:
        """A router puts a version in force."""
        before = self._version.get(router, 0)
        self._check(version > before, f"{router} replaced {before} by {version}")
        self._check(lists == self.lists_by_version.get(version), f"{router} altered {version}")
        self._version[router] = version

    def settled(self, router: object, since_s: float) -> None:
        """All faults ended a while ago; a running router must have caught up."""
        for name, call in self._call_by_id.items():
            done = call.router != router or bool(call.outcome)
            self._check(done, f"{name} is still unanswered {since_s} s after the last fault")
        newest = len(self.lists_by_version)
        have = self._version.get(router, 0)
        self._check(have == newest, f"{router} is at version {have} of {newest}")

    def _check(self, kept: bool, text: str) -> None:
        if not kept:
            self.broken = True
            raise Broken(text)
