"""Tests that calls of lost routers are not mistaken for calls of routers that report."""

import parsleyrudder as pr


def test_report_contains_the_minimum_use_since_the_previous_report():
    """Guards against deducting a call that did not run when the load was counted.

    The load may be counted between the end of one call and the start of the next.
    """
    portions = pr.Portions()
    portions.apply({"s": 2})
    for _ in range(2):
        portions.start_use("s")
    portions.report()
    portions.end_use("s")
    portions.start_use("s")
    assert [(item.used, item.min_used) for item in portions.report()] == [(2, 1)]
    assert [(item.used, item.min_used) for item in portions.report()] == [(2, 2)]
