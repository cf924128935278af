"""Tests of the estimate of what decoded JSON needs."""

import gc
import random
import tracemalloc

import orjson
import pytest

from medlarrail.core.json_shape import WINDOW_BYTES, JsonShape, iterate_windows

COUNT = 20_000
SPARE_BYTES = 2000
"""Memory of the interpreter itself that the measurement includes."""
DENSE = {
    "empty objects": b"{}",
    "empty arrays": b"[]",
    "arrays": b"[0]",
    "objects of one key": b'{"a":0}',
    "objects of six keys": b'{"a":0,"b":0,"c":0,"d":0,"e":0,"f":0}',
    "small numbers": b"0",
    "large numbers": b"1234567890123",
    "fractions": b"1.5",
    "constants": b"null",
    "short strings": b'"ab"',
    "strings": b'"abcdefghijklmnopqrst"',
    "wide strings": '"ab…"'.encode(),
    "escaped strings": rb'"\"\\"',
}
"""One element of each shape."""
TEXT = 'a, b: {"c"} [\\] '
"""Text with what separates elements, as in a prompt with a program in it."""


def build_array(element: bytes) -> bytes:
    return b"[" + b",".join([element] * COUNT) + b"]"


def build_keys(count: int, length: int = 1) -> bytes:
    """Return one object of ``count`` different keys."""
    return orjson.dumps({f"{'k' * length}{index}": index for index in range(count)})


def build_random(rng: random.Random, depth: int = 0):
    """Return a random value with the shapes that JSON has."""
    kind = rng.randrange(4 if depth < 5 else 2)
    if kind == 0:
        return rng.choice((None, True, 0, -7, 2**40, 1.5))
    if kind == 1:
        letters = rng.choice(("ab", 'a"\\\n', "aä", "a…", "a😀", "{},:[]"))
        return "".join(rng.choices(letters, k=rng.randrange(40)))
    values = (build_random(rng, depth + 1) for _ in range(rng.randrange(9)))
    if kind == 2:
        return list(values)
    return {f"{rng.randrange(99)}": value for value in values}


def scan(data: bytes) -> JsonShape:
    shape = JsonShape()
    for window in iterate_windows(data):
        shape.add(window)
    return shape


def measure_decoded_bytes(data: bytes) -> int:
    """Return the memory of the decoded values."""
    gc.collect()
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        value = orjson.loads(data)
        after_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del value
    return after_bytes - before_bytes


class TestEstimate:
    @pytest.mark.parametrize("name", DENSE)
    def test_elements_need_more_than_estimated(self, name):
        data = build_array(DENSE[name])
        needed = measure_decoded_bytes(data)
        assert needed <= scan(data).estimate_decoded_bytes() + SPARE_BYTES

    @pytest.mark.parametrize(("count", "length"), [(COUNT, 1), (COUNT // 4, 80)])
    def test_keys_need_more_than_estimated(self, count, length):
        data = build_keys(count, length)
        needed = measure_decoded_bytes(data)
        assert needed <= scan(data).estimate_decoded_bytes() + SPARE_BYTES

    @pytest.mark.parametrize("seed", range(10))
    def test_random_values_need_more_than_estimated(self, seed):
        rng = random.Random(seed)
        data = orjson.dumps([build_random(rng) for _ in range(500)])
        needed = measure_decoded_bytes(data)
        assert needed <= scan(data).estimate_decoded_bytes() + SPARE_BYTES

    @pytest.mark.parametrize("letter", ["", "ä", "…", "😀"])
    @pytest.mark.parametrize("is_escaped", [False, True])
    def test_text_with_separators_is_counted_as_elements(self, letter, is_escaped):
        """A prompt with many commas and braces was not to be refused."""
        text = TEXT * COUNT + letter
        data = orjson.dumps({"prompt": text})
        if is_escaped:
            data = data.decode().encode("ascii", "backslashreplace")
            data = data.replace(rb"\xe4", rb"\u00e4")
            data = data.replace(rb"\U0001f600", rb"\ud83d\ude00")
        assert orjson.loads(data) == {"prompt": text}
        shape = scan(data)
        widest = {"": 1, "ä": 2, "…": 2, "😀": 4}[letter]
        assert (shape.strings, shape.keys, shape.commas) == (2, 1, 0)
        assert shape.char_bytes == widest
        needed = measure_decoded_bytes(data)
        assert needed <= shape.estimate_decoded_bytes() + SPARE_BYTES
        assert shape.estimate_decoded_bytes() < widest * len(data) + SPARE_BYTES


class TestWindows:
    @pytest.mark.parametrize("offset", range(8))
    @pytest.mark.parametrize(
        "element", [rb'"\\"', rb'"\\\""', b"{}", b"[]", b'[""]', b'{"":[{}]}']
    )
    def test_elements_cross_the_end_of_a_window(self, element, offset):
        """A quote behind a cut escape sequence ended a string that went on."""
        blank = b" " * (WINDOW_BYTES - offset - 1)
        data = b"[" + blank + element + b"," + element + b"]"
        assert b"".join(iterate_windows(data)) == data
        alone = scan(data.replace(blank, b""))
        cut = scan(data)
        alone.text_bytes = cut.text_bytes
        assert cut == alone

    @pytest.mark.parametrize("offset", range(8))
    def test_surrogate_escape_across_the_end_of_a_window_is_missed(self, offset):
        """The widest text was taken for text of half its width."""
        text = b"x" * (WINDOW_BYTES - offset - 1)
        data = b'"' + text + rb'\ud83d\ude00"'
        assert scan(data).char_bytes == 4

    def test_broken_text_is_counted(self):
        """The parser reports what is wrong with it."""
        for data in (b"", b'"', b"\\", b'["\\', b"[[[", b"}}]]", b'{"a', b"\xff\xfe"):
            assert scan(data).estimate_decoded_bytes() >= 0
