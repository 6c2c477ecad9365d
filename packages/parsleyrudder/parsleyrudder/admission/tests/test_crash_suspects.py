"""Which requests and prompt parts are quarantined after which crashes, and when tried again."""

import pytest
from parsleyrudder import CrashRules, CrashSuspects, Suspect, SuspectKind

RULES = CrashRules()
CONFIRM_S = 0.25
COMMON, BAD, OTHER = (Suspect("p", SuspectKind.PART, id) for id in ("common", "bad", "other"))
REPEATED = Suspect("p", SuspectKind.REQUEST, "repeated")
KEYS = (COMMON, BAD)


def make_router(rank):
    return CrashSuspects(trial_rank=lambda id: rank)


class Fleet:
    """Routers that exchange their reports whenever the time advances."""

    def __init__(self, routers=1):
        self.now = 100.0
        self.routers = [make_router(rank) for rank in range(routers)]
        self.requests = 0

    def advance(self, seconds):
        self.now += seconds
        for router in self.routers:
            router.confirm(self.now)
        self.exchange()

    def exchange(self):
        for sender in self.routers:
            for report in sender.take_report(self.now):
                for receiver in self.routers:
                    if receiver is not sender:
                        receiver.record_report(report, self.now)

    def send(self, router, lifetime, keys):
        self.requests += 1
        self.routers[router].record_sent(lifetime, str(self.requests), keys, self.now)
        return str(self.requests)

    def crash(self, router, lifetime, keys=KEYS, responding=False):
        request = self.send(router, lifetime, keys)
        if responding:
            self.routers[router].record_response(lifetime, request, self.now)
        self.routers[router].record_broken(lifetime, request, self.now)

    def respond(self, router, lifetime, keys):
        request = self.send(router, lifetime, keys)
        self.routers[router].record_response(lifetime, request, self.now)
        self.routers[router].record_complete(lifetime, request, self.now)

    def rejecting(self, keys=KEYS):
        """Return the numbers of the routers that reject a request."""
        return [n for n, r in enumerate(self.routers) if r.quarantine(keys, self.now) is not None]


@pytest.mark.parametrize(
    ("crash_times_s", "common_cleared", "bad_cleared", "is_quarantined"),
    [
        pytest.param([0.0], False, False, False, id="one-crash"),
        pytest.param([0.0, 0.1], False, False, False, id="two-at-once"),
        pytest.param([0.0, 0.1, 0.2], False, False, True, id="three-at-once"),
        pytest.param([0.0, 3.0], True, False, True, id="two-waves"),
        pytest.param([0.0, 3.0], True, True, False, id="two-waves-of-a-part-once-sound"),
        pytest.param([0.0] * 14, True, True, False, id="loss-of-a-failure-domain"),
        pytest.param([0.0, 3.0, 6.0], True, True, True, id="three-waves-of-a-part-once-sound"),
    ],
)
def test_only_repeated_crashes_quarantine_a_part(
    crash_times_s, common_cleared, bad_cleared, is_quarantined
):
    """Each crash is seen by another router."""
    fleet = Fleet(routers=3)
    if common_cleared:
        fleet.respond(0, "t", (COMMON,))
    if bad_cleared:
        fleet.respond(1, "t", (BAD,))
    fleet.advance(1.0)
    last_s = 0.0
    for number, crash_s in enumerate(crash_times_s):
        fleet.advance(crash_s - last_s)
        last_s = crash_s
        fleet.crash(number % 3, f"t{number}/1")
        fleet.advance(0.0)
    for _ in range(8):
        fleet.advance(0.25)
        fleet.respond(0, "t", (COMMON,))
        fleet.respond(1, "t", (OTHER,))
        fleet.respond(2, "t", (OTHER,))
    assert fleet.rejecting() == ([0, 1, 2] if is_quarantined else [])
    assert fleet.rejecting((COMMON, OTHER)) == []


@pytest.mark.parametrize("evidence", ["stream-goes-on", "later-response"])
def test_a_broken_response_of_a_live_target_is_no_crash(evidence):
    """Guards against the quarantine of a part by targets that break off single responses."""
    fleet = Fleet()
    for number in range(4):
        lifetime = f"t{number}/1"
        if evidence == "stream-goes-on":
            stream = fleet.send(0, lifetime, (OTHER,))
            fleet.routers[0].record_response(lifetime, stream, fleet.now)
        fleet.crash(0, lifetime)
        fleet.advance(0.1)
        if evidence == "later-response":
            fleet.respond(0, lifetime, (OTHER,))
        fleet.advance(2.0)
    assert fleet.rejecting() == []


def test_one_router_at_a_time_tries_a_quarantined_part():
    """The intervals between trials grow with each further crash."""
    fleet = Fleet(routers=2)
    fleet.crash(0, "t0/1")
    fleet.advance(3.0)
    fleet.crash(1, "t1/1")
    fleet.advance(CONFIRM_S)
    assert fleet.rejecting() == [0, 1]
    quarantine = fleet.routers[0].quarantine(KEYS, fleet.now)
    assert quarantine is not None
    assert (quarantine.suspect, quarantine.crashes) == (COMMON, 2)
    assert quarantine.retry_after_s == pytest.approx(RULES.first_trial_s, abs=CONFIRM_S)
    fleet.advance(RULES.first_trial_s)
    assert fleet.rejecting() == [1]
    assert fleet.routers[0].record_trial(KEYS, fleet.now)
    fleet.advance(0.0)
    assert fleet.rejecting() == [0, 1]
    fleet.crash(0, "t2/1")
    fleet.advance(RULES.first_trial_s + 5.0)
    assert fleet.rejecting() == [0, 1]
    fleet.advance(RULES.trial_factor * RULES.first_trial_s)
    assert fleet.rejecting() == []


def test_a_response_in_a_trial_ends_the_quarantine_at_all_routers():
    fleet = Fleet(routers=3)
    for number in range(3):
        fleet.crash(number, f"t{number}/1")
        fleet.advance(2.0)
    assert fleet.rejecting() == [0, 1, 2]
    fleet.advance(60.0)
    fleet.routers[0].record_trial(KEYS, fleet.now)
    fleet.respond(0, "t9/1", KEYS)
    fleet.exchange()
    assert fleet.rejecting() == []
    for _ in range(RULES.report_count):
        fleet.exchange()
    assert all(router.take_report(fleet.now) == () for router in fleet.routers)


def test_a_restarted_router_learns_quarantined_parts_from_the_others():
    fleet = Fleet(routers=2)
    for number in range(3):
        fleet.crash(0, f"t{number}/1")
        fleet.advance(2.0)
    fleet.routers[1] = make_router(1)
    fleet.advance(2.0)
    assert fleet.rejecting() == [0, 1]


def test_a_restarted_router_learns_which_parts_are_sound():
    """The others cleared the part before the crashes that the restarted router sees alone."""
    fleet = Fleet(routers=2)
    fleet.respond(1, "t/1", KEYS)
    for number in range(4):
        fleet.crash(0, f"t{number}/1")
    for _ in range(10):
        fleet.advance(0.25)
    assert fleet.rejecting() == []


def test_a_pool_whose_targets_all_crash_is_not_blamed_on_a_part():
    """Guards against the rejection of a whole route after its targets are back."""
    fleet = Fleet(routers=2)
    fleet.respond(0, "t/1", KEYS)
    fleet.respond(1, "t/1", KEYS)
    for number in range(6):
        fleet.crash(number % 2, f"t{number}/1")
        fleet.advance(3.0)
    assert fleet.rejecting() == []


def test_reports_stay_small_however_many_targets_crash():
    """A part of most prompts is among those of every crash."""
    fleet = Fleet(routers=2)
    for number in range(300):
        fleet.crash(number % 2, f"t{number}/1", (COMMON,))
        fleet.advance(0.3)
        if number % 100 == 99:
            fleet.respond(0, f"alive{number}/1", (COMMON,))
    fleet.exchange()
    assert fleet.rejecting((COMMON,)) == []
    crashes = [
        len(report.crash_age_ms_by_lifetime)
        for router in fleet.routers
        for report in router.take_report(fleet.now)
    ]
    assert max(crashes, default=0) <= 64


def test_a_crash_of_days_ago_no_longer_counts():
    fleet = Fleet()
    fleet.crash(0, "t0/1")
    fleet.advance(1.0)
    fleet.advance(2 * RULES.memory_s)
    fleet.crash(0, "t1/1")
    fleet.advance(5.0)
    assert fleet.rejecting() == []


@pytest.mark.parametrize("responding", [False, True], ids=["before-response", "amid-response"])
@pytest.mark.parametrize(
    ("crash_times_s", "is_quarantined"),
    [
        pytest.param([0.0], False, id="one-crash"),
        pytest.param([0.0, 0.1], False, id="one-request-sent-twice"),
        pytest.param([0.0, 0.1, 0.2], True, id="three-at-once"),
        pytest.param([0.0, 3.0], True, id="two-waves"),
    ],
)
def test_a_repeated_request_is_quarantined_and_what_resembles_it_is_not(
    crash_times_s, is_quarantined, responding
):
    """Each crash is seen by another router, and interrupts a sound request too."""
    fleet = Fleet(routers=3)
    last_s = 0.0
    for number, crash_s in enumerate(crash_times_s):
        fleet.advance(crash_s - last_s)
        last_s = crash_s
        beside = Suspect("p", SuspectKind.REQUEST, f"beside{number}")
        fleet.crash(number % 3, f"t{number}/1", (REPEATED, COMMON), responding)
        fleet.crash((number + 1) % 3, f"t{number}/1", (beside, COMMON), responding=True)
        fleet.advance(0.0)
    for _ in range(8):
        fleet.advance(CONFIRM_S)
        fleet.respond(0, "alive/1", (COMMON,))
    assert fleet.rejecting((REPEATED,)) == ([0, 1, 2] if is_quarantined else [])
    assert fleet.rejecting((beside, COMMON)) == []


def test_a_request_is_quarantined_as_soon_as_its_third_crash_is_certain():
    fleet = Fleet(routers=3)
    for number in range(3):
        fleet.crash(number, f"t{number}/1", (REPEATED,))
    fleet.advance(CONFIRM_S)
    assert fleet.rejecting((REPEATED,)) == [0, 1, 2]


def test_only_a_complete_response_clears_a_request():
    """Guards against a stream that crashes its target after its first event."""
    fleet = Fleet(routers=2)
    for number in range(3):
        fleet.crash(number % 2, f"t{number}/1", (REPEATED,), responding=True)
        fleet.advance(2.0)
    assert fleet.rejecting((REPEATED,)) == [0, 1]
    fleet.advance(200.0)
    assert fleet.routers[0].record_trial((REPEATED,), fleet.now)
    fleet.respond(0, "t9/1", (REPEATED,))
    fleet.exchange()
    assert fleet.rejecting((REPEATED,)) == []


@pytest.mark.parametrize(
    ("suspects", "is_complete", "expected"),
    [
        pytest.param((REPEATED,), False, [True, True], id="crashed-at-one-router"),
        pytest.param((REPEATED,), True, [False, False], id="complete-since"),
        pytest.param((COMMON,), False, [False, False], id="a-common-part"),
    ],
)
def test_a_request_that_crashed_a_target_is_known_at_all_routers(suspects, is_complete, expected):
    """Guards against a second send to another target when the request breaks off once more."""
    fleet = Fleet(routers=2)
    fleet.crash(0, "t0/1", suspects)
    fleet.advance(CONFIRM_S)
    if is_complete:
        fleet.respond(1, "t1/1", suspects)
        fleet.advance(0.0)
    assert [router.has_crashed(suspects) for router in fleet.routers] == expected


def test_quarantined_requests_outlast_the_suspicions_of_sound_ones():
    """Each crash of an engine interrupts many sound requests."""
    fleet = Fleet()
    for number in range(2):
        fleet.crash(0, f"t{number}/1", (REPEATED,))
        fleet.advance(2.0)
    for number in range(2000):
        fleet.crash(0, f"u{number // 50}/1", (Suspect("p", SuspectKind.REQUEST, str(number)),))
    fleet.advance(CONFIRM_S)
    assert fleet.rejecting((REPEATED,)) == [0]
    assert len(fleet.routers[0].quarantined(fleet.now)) == 1
