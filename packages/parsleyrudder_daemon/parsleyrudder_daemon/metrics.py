"""Counters, gauges and latency histograms of one daemon, in the text exposition format."""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

_MIN_VALUE_US = 1
_MAX_VALUE_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.9, 0.95, 0.99, 1.0)


class Metrics:
    """The metrics exposed at ``/metrics``.

    There is one histogram per name and pool, in microseconds.
    """

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._sums: dict[tuple[str, str], float] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter."""
        self._counters[name, tuple(sorted(labels.items()))] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def observe(self, name: str, pool: str, seconds: float) -> None:
        """Record a duration in the histogram of a pool."""
        histogram = self._histograms.get((name, pool))
        if histogram is None:
            histogram = HdrHistogram(_MIN_VALUE_US, _MAX_VALUE_US, _SIGNIFICANT_DIGITS)
            self._histograms[name, pool] = histogram
        histogram.record_value(max(_MIN_VALUE_US, min(_MAX_VALUE_US, int(seconds * 1e6))))
        self._sums[name, pool] = self._sums.get((name, pool), 0.0) + seconds

    def text(self) -> str:
        """Return all metrics in the text exposition format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"rudder_{name}_total{_format_labels(labels)} {value:g}")
        for name, gauge in sorted(self._gauges.items()):
            lines.append(f"rudder_{name} {gauge:g}")
        for (name, pool), histogram in sorted(self._histograms.items()):
            for quantile in _QUANTILES:
                labels = (("pool", pool), ("quantile", f"{quantile:g}"))
                value = histogram.get_value_at_percentile(quantile * 100) / 1e6
                lines.append(f"rudder_{name}_seconds{_format_labels(labels)} {value:.6f}")
            labels = (("pool", pool),)
            lines.append(
                f"rudder_{name}_seconds_sum{_format_labels(labels)} {self._sums[name, pool]:.6f}"
            )
            count = histogram.get_total_count()
            lines.append(f"rudder_{name}_seconds_count{_format_labels(labels)} {count}")
        return "\n".join(lines) + "\n"


def _format_labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escape_label_value(value)}"' for name, value in labels) + "}"


def _escape_label_value(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
