"""Series of measured points with least-squares fits, formatted as tables and JSON lines."""

import json
import math
from dataclasses import dataclass, field

__all__ = ["Fit", "Series", "exponent", "fit"]


@dataclass(slots=True, frozen=True)
class Fit:
    """A line y = slope * x + intercept and the largest absolute residual of its points."""

    slope: float
    intercept: float
    largest_residual: float


@dataclass(slots=True)
class Series:
    """Measured points (x, y) of one quantity."""

    name: str
    x_name: str
    y_name: str
    points: list[tuple[float, float]] = field(default_factory=list)

    def add(self, x: float, y: float) -> None:
        """Add a point."""
        self.points.append((x, y))

    def text(self) -> str:
        """Return the points and their fit as a table, followed by the same data as a JSON line."""
        line = fit(self.points)
        power = exponent(self.points)
        lines = [f"{self.name}: {self.y_name} against {self.x_name}"]
        lines += [f"  {x:>8g}  {y:>12.4g}" for x, y in self.points]
        lines.append(
            f"  fit: slope {line.slope:.4g}, intercept {line.intercept:.4g}, "
            f"largest residual {line.largest_residual:.3g}; exponent of the upper half {power:.2f}"
        )
        document = {
            "name": self.name,
            "x": self.x_name,
            "y": self.y_name,
            "points": self.points,
            "slope": line.slope,
            "intercept": line.intercept,
            "largest_residual": line.largest_residual,
            "exponent": power,
        }
        lines.append(json.dumps(document))
        return "\n".join(lines)


def fit(points: list[tuple[float, float]]) -> Fit:
    """Return the least-squares line through the points.

    >>> fit([(0, 1), (1, 3), (2, 5)])
    Fit(slope=2.0, intercept=1.0, largest_residual=0.0)
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    x_sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_sum_of_squares
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - slope * x - intercept) for x, y in points)
    return Fit(slope, intercept, residual)


def exponent(points: list[tuple[float, float]]) -> float:
    """Return the growth exponent of the upper half of the points, fitted on a log-log scale.

    >>> round(exponent([(1, 9), (10, 200), (100, 20000), (1000, 2000000)]), 2)
    2.0
    """
    log_points = [(math.log(x), math.log(y)) for x, y in points[len(points) // 2 :] if y > 0]
    return fit(log_points).slope if len(log_points) > 1 else 0.0
