"""Statuses that decide how each message is read and framed, as plain numbers.

Each use of an `HTTPStatus` member is a call in Python 3.11; these are looked at several times for
every message.
"""

from http import HTTPStatus

SWITCHING_PROTOCOLS = int(HTTPStatus.SWITCHING_PROTOCOLS)
PROCESSING = int(HTTPStatus.PROCESSING)
OK = int(HTTPStatus.OK)
NO_CONTENT = int(HTTPStatus.NO_CONTENT)
NOT_MODIFIED = int(HTTPStatus.NOT_MODIFIED)
