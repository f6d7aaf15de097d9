"""Metrics of a node's session with the control plane."""

from ryelock.edge.server_list_view import ServerListView
from ryelock.metrics import Labels, Metrics


def add_session_metrics(metrics: Metrics, server_lists: ServerListView) -> None:
    """Add the gauges that are read from a session on every scrape.

    Args:
        metrics: the process's metrics.
        server_lists: the session's view of the platform's server list.
    """

    def server_list_age() -> dict[Labels, float]:
        age = server_lists.age()
        return {} if age is None else {(): age}

    metrics.gauge(
        "server_list_age",
        "Seconds since the server list in use was requested from the platform.",
        server_list_age,
    )
