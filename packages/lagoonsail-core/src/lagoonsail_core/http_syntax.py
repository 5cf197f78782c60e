"""Syntax of the heads of HTTP/1.1 messages (RFC 9110 and RFC 9112).

The parsers of the libraries accept more than the protocol does. `http.client` ends a
head at a line that is no header field: the length that follows it is not seen, and the
body is taken for the next message on the connection. Heads are checked here before such
a parser reads them.
"""

from __future__ import annotations

import re

MIN_STATUS = 100
"""Lowest status code of a response."""
MAX_STATUS = 599
"""Highest status code of a response."""

MAX_LENGTH_DIGITS = 18
"""Maximum number of digits of a Content-Length."""

_LENGTH = re.compile(f"[0-9]{{1,{MAX_LENGTH_DIGITS}}}", re.ASCII)
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_REQUEST_LINE = re.compile(_TOKEN + rb" [^\x00-\x20\x7f]+ HTTP/[0-9]\.[0-9]\r?\n")
_FIELD_LINE = re.compile(_TOKEN + rb":[^\x00-\x08\x0a-\x1f\x7f]*\r?\n")
_STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}( [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n"
)
_END_OF_HEAD = (b"\r\n", b"\n")


def is_request_line(line: bytes) -> bool:
    r"""Return whether a line can begin a request.

    Args:
        line: The line with its end.

    Example:
        >>> is_request_line(b"GET /a?b HTTP/1.1\r\n"), is_request_line(b"GET /a\r\n")
        (True, False)
    """
    return _REQUEST_LINE.fullmatch(line) is not None


def is_status_line(line: bytes) -> bool:
    r"""Return whether a line can begin a response.

    Args:
        line: The line with its end.

    Example:
        >>> is_status_line(b"HTTP/1.1 200 OK\r\n")
        True
        >>> is_status_line(b"HTTP/1.1 000 OK\r\n")
        False
    """
    return _STATUS_LINE.fullmatch(line) is not None


def is_status(status: int) -> bool:
    """Return whether a number is a status code of a response.

    Args:
        status: The number.

    Example:
        >>> is_status(0), is_status(200), is_status(600)
        (False, True, False)
    """
    return MIN_STATUS <= status <= MAX_STATUS


def is_length(text: str) -> bool:
    """Return whether the value of a Content-Length is one number.

    Args:
        text: The value.

    Example:
        >>> is_length("12"), is_length("+12"), is_length("1_2")
        (True, False, False)
    """
    return _LENGTH.fullmatch(text) is not None


def is_chunked(coding: str) -> bool:
    r"""Return whether the value of a Transfer-Encoding is `chunked` alone.

    Args:
        coding: The value.

    Example:
        >>> is_chunked(" Chunked"), is_chunked("gzip, chunked")
        (True, False)
        >>> is_chunked("chunked\xa0")
        False
    """
    return coding.strip(" \t").lower() == "chunked"


def is_field_line(line: bytes) -> bool:
    r"""Return whether a line is a header field on a line of its own.

    The name is a token that ends at the colon, and the value has no control bytes. A
    value that continues on the next line is obsolete and not accepted.

    Args:
        line: The line with its end.

    Example:
        >>> is_field_line(b"Host: a\r\n"), is_field_line(b"Host : a\r\n")
        (True, False)
        >>> is_field_line(b" continued\r\n"), is_field_line(b"Host: a")
        (False, False)
    """
    return _FIELD_LINE.fullmatch(line) is not None


def is_end_of_head(line: bytes) -> bool:
    r"""Return whether a line is the empty one after the header fields.

    Args:
        line: The line with its end.

    Example:
        >>> is_end_of_head(b"\r\n"), is_end_of_head(b"")
        (True, False)
    """
    return line in _END_OF_HEAD
