"""Keep the platform's words inside its folder."""

import re
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src" / "wagtailbay"
# Names that only the platform uses; the product has its own for all that it needs of them.
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
    """Translate at the boundary only."""

    def test_platform_terms_stay_in_their_folder(self):
        """Guards against decisions that depend on how the platform spells things."""
        found = set()
        for path in SOURCE.rglob("*.py"):
            name = str(path.relative_to(SOURCE))
            if name.startswith("platform/"):
                continue
            text = path.read_text()
            found |= {(name, term) for term in PLATFORM_TERMS if re.search(re.escape(term), text)}
        assert found == set()

    def test_platform_folder_stays_small(self):
        """Guards against decisions that grow in the folder that only translates."""
        lines = sum(len(p.read_text().splitlines()) for p in (SOURCE / "platform").glob("*.py"))
        assert lines < 900
