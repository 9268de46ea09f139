"""Model of the requirements, with the values of a deployment that states none."""

from attrs import frozen


@frozen
class FleetRequirements:
    """Limits that a deployment requires the whole fleet to keep.

    Attributes:
        target_drain_ms: Time after a target announced that it is leaving, from which on it gets no
            request.
        contact_timeout_ms: Time without contact after which a VM no longer has to be up to date.
        config_apply_ms: Time in which an accepted configuration takes effect on every VM.
        retry_ratio: Retries allowed for each request of a service.
        retry_extra: Retries of a service allowed beyond that ratio.
        quota_slack: Requests of a workspace allowed beyond its rate and burst.
        exposure_share: Share of a service's requests that a failing version may receive.
        cold_overage: Factor by which the request rate of a cold target may exceed its limit.
        cold_slack: Requests per second allowed beyond that.
        max_region_shift: Share of a region's requests that may change the region in which they run
            within two seconds.
        max_lookup_ttl_ms: Longest time for which clients may cache the response to a lookup.
        store_reads_per_s: Read calls per second that the store accepts from the whole fleet.
    """

    target_drain_ms: float = 2_500.0
    contact_timeout_ms: float = 4_000.0
    config_apply_ms: float = 2_500.0
    retry_ratio: float = 0.2
    retry_extra: float = 60.0
    quota_slack: float = 20.0
    exposure_share: float = 0.1
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    max_region_shift: float = 0.15
    max_lookup_ttl_ms: float = 5_000.0
    store_reads_per_s: float = 2_000.0
