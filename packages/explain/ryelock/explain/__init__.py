"""Why a request went where it went: from the edge that served it, by the id in its answer.

client.py asks the edge, explanation.py is its typed answer, and text.py puts that into lines.
"""

from ryelock.explain.client import explain_request, explain_url
from ryelock.explain.text import format_explanation

__all__ = ["explain_request", "explain_url", "format_explanation"]
