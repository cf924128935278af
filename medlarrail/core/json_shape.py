"""Estimates the memory of JSON text once it is decoded, without decoding it.

Decoded text of many small elements needs more than twenty times its bytes. Only what
stands outside strings has elements, so text with many braces and commas needs little.
"""

import re
from collections.abc import Iterator

from attrs import define, field

WINDOW_BYTES = 16384
"""Bytes that are looked at in one piece, in less than a millisecond."""
WHITESPACE = b" \t\r\n"
SURROGATE_ESCAPE = re.compile(rb"\\u[dD][89abAB]")
SURROGATE_ESCAPE_BYTES = 4
"""Bytes of an escape sequence that show that it is a surrogate."""
FOUR_BYTE_LEAD = re.compile(rb"[\xf0-\xf4]")

# Sizes of CPython's objects with 64-bit pointers, in bytes.
DICT_BYTES = 64
ENTRIES_BYTES = 120
"""Table of a dictionary's first entries."""
ENTRY_BYTES = 60
"""Upper limit of the table for each further entry."""
LIST_BYTES = 56
SLOT_BYTES = 9
"""A list's pointer to one element, with an eighth that is kept free."""
STRING_BYTES = 64
"""A string without its characters, rounded up."""
NUMBER_BYTES = 32
PARSED_BYTES = 16
"""What the parser keeps of each value and key until the end of the text."""


@define
class JsonShape:
    """The elements of JSON text that is added in windows.

    Example::

        shape = JsonShape()
        for window in iterate_windows(data):
            shape.add(window)
        shape.estimate_decoded_bytes()
    """

    text_bytes: int = 0
    char_bytes: int = 1
    """Bytes of each character in the widest string."""
    strings: int = 0
    objects: int = 0
    empty_objects: int = 0
    arrays: int = 0
    empty_arrays: int = 0
    keys: int = 0
    commas: int = 0
    _in_string: bool = False
    _latest: bytes = b""
    """The latest byte outside strings, a quote for a string."""
    _tail: bytes = field(default=b"", eq=False)
    """The latest bytes, with which a surrogate may have begun."""

    def add(self, window: bytes) -> None:
        """Count the elements of the next window, see ``iterate_windows``."""
        self.text_bytes += len(window)
        unescaped = window.replace(b"\\\\", b"")
        text = self._tail + unescaped
        self._tail = text[1 - SURROGATE_ESCAPE_BYTES :]
        self.char_bytes = max(self.char_bytes, _get_char_bytes(text))
        parts = unescaped.replace(b'\\"', b"").split(b'"')
        first_outside = 1 if self._in_string else 0
        outside = b'"'.join(parts[first_outside::2]).translate(None, WHITESPACE)
        quotes = len(parts) - 1
        self.strings += (quotes + 1 - first_outside) // 2
        self._in_string = (quotes + first_outside) % 2 == 1
        pairs = self._latest + outside
        self.objects += outside.count(b"{")
        self.empty_objects += pairs.count(b"{}")
        self.arrays += outside.count(b"[")
        self.empty_arrays += pairs.count(b"[]")
        self.keys += outside.count(b":")
        self.commas += outside.count(b",")
        self._latest = b'"' if self._in_string else pairs[-1:]

    def estimate_decoded_bytes(self) -> int:
        """Return an upper limit of the memory of the decoded values.

        It includes what the parser needs beside them, but for a copy of the text.
        """
        filled_objects = self.objects - self.empty_objects
        filled_arrays = self.arrays - self.empty_arrays
        values = self.commas + filled_objects + filled_arrays + 1
        elements = max(0, values - self.keys)
        containers = self.objects + self.arrays
        numbers = max(0, values - max(0, self.strings - self.keys) - containers)
        return (
            DICT_BYTES * self.objects
            + ENTRIES_BYTES * filled_objects
            + ENTRY_BYTES * max(0, self.keys - filled_objects)
            + LIST_BYTES * self.arrays
            + SLOT_BYTES * elements
            + STRING_BYTES * self.strings
            + NUMBER_BYTES * numbers
            + PARSED_BYTES * (values + self.keys)
            + (self.char_bytes * self.text_bytes if self.strings else 0)
        )


def iterate_windows(data: bytes) -> Iterator[bytes]:
    """Yield the text in windows that no escape sequence of two bytes crosses.

    >>> text = b"[" + b" " * (WINDOW_BYTES - 3) + b'"\\\\""]'
    >>> [len(window) - WINDOW_BYTES for window in iterate_windows(text)][0]
    1
    """
    begin = 0
    while begin < len(data):
        end = begin + WINDOW_BYTES
        window = data[begin:end]
        backslashes = len(window) - len(window.rstrip(b"\\"))
        if backslashes % 2:
            window = data[begin : end + 1]
        yield window
        begin += len(window)


def _get_char_bytes(text: bytes) -> int:
    """Return the bytes of each character in a string with the characters of a text.

    ``text`` has no escaped backslashes.
    """
    is_ascii = text.isascii()
    is_escaped = b"\\u" in text
    if not is_ascii and FOUR_BYTE_LEAD.search(text):
        return 4
    if is_escaped and SURROGATE_ESCAPE.search(text):
        return 4
    return 1 if is_ascii and not is_escaped else 2
