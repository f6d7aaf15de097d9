"""Explanations formatted as lines of text."""

from ryelock.explain.explanation import Explanation, decode_explanation


def format_explanation(body: dict[str, object]) -> list[str]:
    """Return the explanation in the body of an edge's response as lines of text.

    Raises:
        MalformedMessageError: the body is not a valid explanation.
    """
    explanation = decode_explanation(body)
    lines = [
        f"{explanation.method} {explanation.target} host {explanation.host or '-'}",
    ]
    if not explanation.route:
        return [*lines, f"no route: {explanation.reason or 'nothing matched'}"]
    return [
        *lines,
        *routing_lines(explanation),
        *server_lines(explanation),
        *result_lines(explanation),
    ]


def routing_lines(explanation: Explanation) -> list[str]:
    """Return the lines on the route, the cache and admission."""
    lines = [
        f"route {explanation.route} of version {explanation.version} -> service "
        f"{explanation.service}, class {explanation.request_class}"
    ]
    if explanation.is_retry:
        lines.append("taken as a caller's repeat")
    if explanation.cache:
        lines.append(f"cache: {explanation.cache}")
    if explanation.admission:
        lines.append(f"allowance: {explanation.admission}")
    return lines


def server_lines(explanation: Explanation) -> list[str]:
    """Return the lines on zones, candidates and attempts."""
    lines: list[str] = []
    if explanation.verdicts:
        verdicts = (f"{zone} {verdict}" for zone, verdict in sorted(explanation.verdicts.items()))
        lines.append("verdicts: " + ", ".join(verdicts))
    lines += [f"weighed {format_record(candidate)}" for candidate in explanation.candidates]
    lines += [f"dispatch {format_record(attempt)}" for attempt in explanation.attempts]
    return lines


def result_lines(explanation: Explanation) -> list[str]:
    """Return the lines on the response, or on the server that would be selected."""
    lines: list[str] = []
    if explanation.picked:
        lines.append(f"would go to {explanation.picked}")
    if explanation.status:
        reason = f": {explanation.reason}" if explanation.reason else ""
        lines.append(f"answered {explanation.status}, {explanation.outcome}{reason}")
    return lines


def format_record(record: dict[str, object]) -> str:
    """Return a record as key=value pairs, separated by spaces."""
    return " ".join(f"{key}={value}" for key, value in record.items())
