"""Shares of organisations in rate-limited targets, over many routers without a network."""

import random
from collections import Counter

from parsleyrudder import TargetRateLimits, UsageLedger

STEP_S = 0.025
WAIT_S = 0.5
REPORT_S = 0.6
COST = 10.0
SECONDS = 12.0
MEASURED_FROM_S = 6.0


class Router:
    """Sends queued requests of the organisation with the least usage first."""

    def __init__(self, name, targets, per_s):
        self.name = name
        self.limits = TargetRateLimits()
        self.usage = UsageLedger(capacity_per_s=1e6)
        self.queue = []
        self.targets = targets
        for target in targets:
            self.limits.record_response(target, per_s, 0.0)

    def exchange(self, report_by_router, now):
        for name, report in report_by_router.items():
            if name != self.name:
                self.usage.record_report(name, report, now)
        self.usage.refresh(now)
        entitled = self.usage.entitled_by_router(self.name)
        demand = {name: entitled.get(name, 0.0) for name in report_by_router}
        self.limits.set_routers(self.name, demand, now)

    def arrive(self, organisation, now):
        self.usage.record_demand(organisation, COST, now)
        self.queue.append((now + WAIT_S, organisation))

    def send(self, now):
        self.queue = [entry for entry in self.queue if entry[0] > now]
        self.queue.sort(key=lambda entry: self.usage.observed_share_ratio(entry[1]))
        for target in self.targets:
            if self.queue and self.limits.wait_s(target, now) <= 0.0:
                _, organisation = self.queue.pop(0)
                self.limits.take(target, now)
                self.usage.record_usage(organisation, COST, now)
                yield organisation


def sent_by_organisation(router_count, target_count, per_s, arrivals, seed=1):
    """Return the numbers of requests sent in the second half.

    :param arrivals: routers and requests per second, by organisation.
    """
    rng = random.Random(seed)
    targets = [f"t{number}/1" for number in range(target_count)]
    routers = [Router(f"r{number}", targets, per_s) for number in range(router_count)]
    sent: Counter[str] = Counter()
    next_report_at = 0.0
    for step in range(round(SECONDS / STEP_S)):
        now = step * STEP_S
        if now >= next_report_at:
            next_report_at = now + REPORT_S
            reports = {router.name: router.usage.local_report(now) for router in routers}
            for router in routers:
                router.exchange(reports, now)
        for organisation, (numbers, requests_per_s) in arrivals.items():
            expected = requests_per_s * STEP_S
            for _ in range(int(expected) + (rng.random() < expected % 1)):
                routers[rng.choice(numbers)].arrive(organisation, now)
        for router in routers:
            sent.update(o for o in router.send(now) if now >= MEASURED_FROM_S)
    return sent


def test_an_organisation_at_one_router_gets_half_of_what_one_at_all_routers_gets():
    """What others leave at a router for a moment is taken by the organisation at all routers."""
    everywhere = list(range(40))
    arrivals = {"one": ([0], 110.0), "all": (everywhere, 130.0)}
    arrivals.update({f"large{n}": (everywhere, 11.0) for n in range(6)})
    arrivals.update({f"small{n}": (everywhere, 1.7) for n in range(18)})
    sent = sent_by_organisation(40, 32, 2.6, arrivals)
    assert sum(sent.values()) >= 0.75 * 2.6 * 32 * (SECONDS - MEASURED_FROM_S)
    assert sent["one"] >= 0.5 * sent["all"]
