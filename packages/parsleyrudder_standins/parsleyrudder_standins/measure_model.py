"""Model of a pool without processes: coordinator and schedulers with simulated time.

``python -m parsleyrudder_standins.measure_model`` reproduces faults of the sharing code in seconds.
Messages take no time and servers run at an exact rate, so its figures are not those of a fleet.
"""

import sys
from dataclasses import dataclass, field

from absl import app, flags
from parsleyrudder import (
    POLICY_BY_NAME,
    Config,
    Coordinator,
    CostEstimator,
    Member,
    Plan,
    PoolRules,
    PoolScheduler,
    SchedulerRules,
    WaitingCall,
    normalised_shares,
)

from .measure_figures import Sample, fairness_gap

__all__ = ["Model", "ModelResult"]

_STEP_S = 0.01
_WARM_UP_S = 5.0
_QUEUE_TIME_S = 30.0


@dataclass(slots=True)
class ModelResult:
    """What became of the calls.

    :ivar gap: worst fairness gap.
    :ivar utilisation: mean part of the slots that was busy.
    :ivar longest_wait_s: longest wait of a call that was sent, by member.
    :ivar expired: calls refused because they had waited too long.
    """

    gap: float
    utilisation: float
    longest_wait_s: dict[str, float]
    expired: int


@dataclass(slots=True)
class Model:
    """A closed loop: each member keeps a number of calls outstanding at each router.

    :ivar calls: calls that each member keeps outstanding, spread over the routers in turn.
    :ivar cost: cost of every call; a slot serves ``rate`` per second.
    """

    share_by_member: dict[str, float]
    routers: int = 8
    slots: int = 8
    calls: int = 12
    cost: float = 41.0
    rate: float = 50.0
    policy: str = "fair"
    _now: float = 0.0
    _number: int = 0
    _expired: int = 0
    _busy: list[int] = field(default_factory=list)
    _samples: list[Sample] = field(default_factory=list)
    _served: dict[str, float] = field(default_factory=dict)
    _waits: dict[str, float] = field(default_factory=dict)
    _begun_at: dict[str, float] = field(default_factory=dict)
    _schedulers: list[PoolScheduler] = field(default_factory=list)

    def run(self, seconds: float) -> ModelResult:
        """Run for a simulated time."""
        shares, coordinator = self._prepare()
        for member in self.share_by_member:
            for index in range(self.calls):
                self._submit(index % self.routers, member)
        while self._now < seconds:
            self._now += _STEP_S
            for index in range(self.routers):
                self._step(index, coordinator)
            if self._now > _WARM_UP_S:
                self._note()
        return ModelResult(
            fairness_gap(self._samples, shares).worst,
            sum(self._busy) / len(self._busy) / self.slots,
            dict(self._waits),
            self._expired,
        )

    def _prepare(self) -> tuple[dict[str, float], Coordinator]:
        plan = Plan("p", ("pool",), 40, 1e6, 1e9, 1e6, 400, _QUEUE_TIME_S)
        rows = {name: Member(name, "p", share, "") for name, share in self.share_by_member.items()}
        config = Config(1, rows, {"p": plan})
        shares = normalised_shares(config)
        policy = POLICY_BY_NAME[self.policy]
        coordinator = policy.coordinator("r0", "pool", 1, PoolRules(), 0.0)
        coordinator.set_servers({"s": self.slots})
        coordinator.set_members(shares, dict.fromkeys(shares, plan.concurrency))
        for index in range(self.routers):
            rules, costs = SchedulerRules(), CostEstimator(100.0)
            scheduler = policy.scheduler(f"r{index}", 1, "pool", rules, costs)
            scheduler.set_config(config)
            self._schedulers.append(scheduler)
        return shares, coordinator

    def _submit(self, index: int, member: str) -> None:
        self._number += 1
        until = self._now + _QUEUE_TIME_S
        call = WaitingCall(f"c{self._number}", member, "chat", True, self.cost, until)
        self._begun_at[call.id] = self._now
        self._schedulers[index].submit(call, self._now)

    def _step(self, index: int, coordinator: Coordinator) -> None:
        scheduler = self._schedulers[index]
        for call in scheduler.running_calls():
            charged = min(self.cost, call.charged + self.rate * _STEP_S)
            served = self._served.get(call.member, 0.0)
            self._served[call.member] = served + charged - call.charged
            scheduler.charge(call, charged)
            if charged >= self.cost:
                scheduler.finish(call)
                self._submit(index, call.member)
        for call, _ in scheduler.expire(self._now):
            self._expired += 1
            self._submit(index, call.member)
        for call in scheduler.dispatch(self._now, lambda _, idle: next(iter(idle))):
            wait = self._now - self._begun_at[call.id]
            self._waits[call.member] = max(wait, self._waits.get(call.member, 0.0))
        if scheduler.report_due(self._now):
            report = scheduler.report(self._now, True)
            for name, grant in coordinator.on_report(report, self._now):
                self._schedulers[int(name[1:])].on_grant(grant, self._now)

    def _note(self) -> None:
        running = {
            name: sum(1 for s in self._schedulers for c in s.running_calls() if c.member == name)
            for name in self.share_by_member
        }
        outstanding = dict.fromkeys(self.share_by_member, self.calls)
        self._busy.append(sum(running.values()))
        self._samples.append(Sample(self._now, dict(self._served), running, outstanding))


def main(arguments: list[str]) -> None:
    """Run the model with two members of shares 4 and 1."""
    del arguments
    values = flags.FLAGS
    model = Model(
        {"gas-aurora": 4.0, "hosp-derby": 1.0}, values.routers, values.slots, values.calls
    )
    model.policy = values.policy
    print(model.run(values.seconds))


if __name__ == "__main__":
    flags.DEFINE_integer("routers", 8, "routers")
    flags.DEFINE_integer("slots", 8, "slots of the pool")
    flags.DEFINE_integer("calls", 12, "calls that each member keeps outstanding")
    flags.DEFINE_string("policy", "fair", "sharing policy")
    flags.DEFINE_float("seconds", 60.0, "simulated time")
    sys.exit(app.run(main))
