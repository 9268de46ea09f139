"""Format the timeline of a request as text."""

from wagtailbay.explain.const import RECENT_WINDOW_S, REFUSAL_MEANINGS
from wagtailbay.explain.models import RequestStep, RequestTimeline


def format_timeline(timeline: RequestTimeline) -> str:
    """Format a timeline as lines of text."""
    lines = [f"request {timeline.request_id}"]
    for step in timeline.steps:
        lines += [*_format_step(step), ""]
    for newer in timeline.newer:
        lines.append(f"version {newer.version} was in force on {newer.vm} at {newer.time_s:.3f}")
    if timeline.unread_lines:
        lines.append(f"{timeline.unread_lines} lines are not in the log format of this product")
    return "\n".join(lines).rstrip()


def _format_step(step: RequestStep) -> list[str]:
    values = " ".join(f"{k}={v}" for k, v in step.values.items() if k != "request_id")
    lines = [f"{step.time_s:.3f} {step.vm} {step.event} {values}"]
    meaning = REFUSAL_MEANINGS.get(_refusal_code(step))
    if meaning:
        lines.append(f"  meaning: {meaning}")
    for part in step.values.get("tried", "-").split(","):
        if part != "-":
            target, reason, target_outcome = (part.split(":") + ["", ""])[:3]
            lines.append(f"  target {target}: chosen as {reason}, outcome {target_outcome}")
    state = step.state
    if state.configuration is not None:
        config = state.configuration
        lines.append(
            f"  configuration: version {config.version}, in force since {config.time_s:.3f}"
        )
    for target, event in state.targets.items():
        lines.append(f"  last event of target {target}: {event}")
    if state.recent:
        counts = ", ".join(f"{count} {outcome}" for outcome, count in state.recent.items())
        lines.append(f"  the service's other requests in the last {RECENT_WINDOW_S:g} s: {counts}")
    if state.store:
        lines.append(f"  store: {state.store}")
    if state.unreachable_peers:
        lines.append(f"  unreachable peers: {', '.join(state.unreachable_peers)}")
    if state.evacuated_zones not in ("", "[]"):
        lines.append(f"  evacuated zones: {state.evacuated_zones}")
    if state.lines_dropped:
        lines.append(f"  {state.lines_dropped} lines of this VM were dropped before this one")
    return lines


def _refusal_code(step: RequestStep) -> str:
    """Return the refusal code from the code value, or from the reason up to its colon."""
    return step.values.get("code") or step.values.get("reason", "").partition(":")[0]
