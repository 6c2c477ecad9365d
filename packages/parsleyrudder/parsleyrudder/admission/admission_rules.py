"""Limits on what is sent to the targets of a pool."""

from dataclasses import dataclass

__all__ = ["AdmissionRules"]


@dataclass(slots=True, frozen=True)
class AdmissionRules:
    """Limits on what is sent to a target.

    The limits depend on the usage of the requesting organisation: within its fair share, above it,
    or also above its fair share of the observed usage ("excess").

    :ivar slots_fraction: fraction of a target's slots that may be occupied.
    :ivar max_prefill_wait_s: allowed time for the prefills that are pending at a target when a
        prompt is sent to it.
    :ivar latency_budget_fraction: fraction of the time left to a request within which its response
        has to begin.
    :ivar over_share_slots_fraction: as ``slots_fraction``, for an organisation above its share.
    :ivar over_share_wait_factor: factor on the allowed wait for an organisation above its share.
    :ivar excess_slots_fraction: as ``slots_fraction``, for an organisation that is also above its
        fair share of the observed usage.
    :ivar excess_wait_factor: as ``over_share_wait_factor``, for an organisation exactly at its fair
        share of the observed usage; the factor decreases above that.
    :ivar resumption_slots_fraction: as ``slots_fraction``, for the rest of admitted streams.
        It is above 1, because the runs of a router that has died count until its last report
        expires, and the streams that are resumed then are these runs.
    :ivar resumption_wait_factor: factor on the allowed wait for these requests. It is above 1, so
        that they find room at targets that new requests keep busy.
    """

    slots_fraction: float = 0.9
    max_prefill_wait_s: float = 0.2
    latency_budget_fraction: float = 0.8
    over_share_slots_fraction: float = 0.7
    over_share_wait_factor: float = 0.5
    excess_slots_fraction: float = 0.5
    excess_wait_factor: float = 0.25
    resumption_slots_fraction: float = 1.5
    resumption_wait_factor: float = 2.0
