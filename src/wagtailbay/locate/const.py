"""Constants of the locate slice."""

from typing import Final

ANSWER_TTL_MS: Final = 10_000
# A VM that announced its end serves this much longer than the oldest answer that names it.
LEAVING_MARGIN_MS: Final = 2_000
# A VM unheard for this long is left out; three heartbeats may be lost.
UNHEARD_AFTER_S: Final = 4.0
