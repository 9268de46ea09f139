"""Tests that the platform's terms stay inside its folder."""

import re
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src" / "wagtailbay"
# Names that only the platform uses; the product has its own names for these concepts.
PLATFORM_TERMS = (
    "Not-Executed",
    "Response-Seal",
    "Server-Load",
    "Expect-Instance",
    "Affinity-Key",
    "Deadline-Ms",
    "cold_left",
    "home_regions",
    "weighted_services",
    "api_keys",
    "max_conns",
    "max_attempts",
    "quota_window",
    "/resolve",
)


class TestBoundary:
    """Only the platform folder translates between platform and product."""

    def test_platform_terms_stay_in_their_folder(self):
        """Guards against decisions that depend on names of the platform."""
        found = set()
        for path in SOURCE.rglob("*.py"):
            name = str(path.relative_to(SOURCE))
            if name.startswith("platform/"):
                continue
            text = path.read_text()
            found |= {(name, term) for term in PLATFORM_TERMS if re.search(re.escape(term), text)}
        assert found == set()

    def test_platform_folder_stays_small(self):
        """Guards against adding decisions to the folder, which should only translate."""
        lines = sum(len(p.read_text().splitlines()) for p in (SOURCE / "platform").glob("*.py"))
        assert lines < 900
