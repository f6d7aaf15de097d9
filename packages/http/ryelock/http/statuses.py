"""Status codes that affect the framing of a message, as plain integers.

Looking up an `HTTPStatus` member is a function call in Python 3.11, and these codes are compared
several times per message.
"""

from http import HTTPStatus

SWITCHING_PROTOCOLS = int(HTTPStatus.SWITCHING_PROTOCOLS)
PROCESSING = int(HTTPStatus.PROCESSING)
OK = int(HTTPStatus.OK)
NO_CONTENT = int(HTTPStatus.NO_CONTENT)
NOT_MODIFIED = int(HTTPStatus.NOT_MODIFIED)
