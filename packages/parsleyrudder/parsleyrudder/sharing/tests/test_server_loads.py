"""Guards against calls of lost routers that are taken for calls of routers that report."""

import parsleyrudder as pr


def test_report_tells_the_least_use_since_the_one_before():
    """A load report between an end and the next start must not be explained by either of them."""
    portions = pr.Portions()
    portions.apply({"s": 2})
    for _ in range(2):
        portions.start_use("s")
    portions.report()
    portions.end_use("s")
    portions.start_use("s")
    assert [(item.used, item.min_used) for item in portions.report()] == [(2, 1)]
    assert [(item.used, item.min_used) for item in portions.report()] == [(2, 2)]
