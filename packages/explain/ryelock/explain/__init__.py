"""Explanations of how an edge routed a request, or would route one.

- `client`: fetches an explanation from the edge.
- `explanation`: its type.
- `text`: formats it as lines of text.
"""

from ryelock.explain.client import explain_request, explain_url
from ryelock.explain.text import format_explanation

__all__ = ["explain_request", "explain_url", "format_explanation"]
