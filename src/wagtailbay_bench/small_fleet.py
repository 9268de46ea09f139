"""Configuration of a small fleet with one service for tests with few processes."""

FLEET = {
    "schema_version": 1,
    "max_vms": 4,
    "availability_zones": [
        {"availability_zone": "mx-a1", "region": "mx-a"},
        {"availability_zone": "mx-a2", "region": "mx-a"},
        {"availability_zone": "mx-b1", "region": "mx-b"},
    ],
}
RECORDS_SERVICE = {
    "schema_version": 1,
    "service": "records",
    "owner": "repository-team",
    "routes": [{"name": "read", "path_prefix": "/"}],
    "targets": [
        {
            "target": f"records-{zone}",
            "address": "127.0.0.1:0",
            "availability_zone": zone,
            "version": "v1",
            "slots": 6,
        }
        for zone in ("mx-a1", "mx-a2", "mx-b1")
    ],
    "workspaces": [{"workspace": "unam", "rate_per_s": 50, "burst": 100}],
    "regions": [
        {"region": "mx-a", "capacity_per_s": 400},
        {"region": "mx-b", "capacity_per_s": 200},
    ],
}
