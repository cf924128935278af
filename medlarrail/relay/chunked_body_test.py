"""Tests of the decoder for bodies in chunks."""

import random

import pytest

from medlarrail.core.errors import MalformedRequest, OverLongBody, OverLongHeader
from medlarrail.relay.chunked_body import ChunkedBody

LIMIT_BYTES = 100_000


def encode(body: bytes, sizes) -> bytes:
    """Return ``body`` in chunks of these sizes, without the last one."""
    data, position = b"", 0
    for size in sizes:
        part = body[position : position + size]
        position += size
        if part:
            data += b"%x\r\n%s\r\n" % (len(part), part)
    return data


def decode(data: bytes, step: int) -> ChunkedBody:
    """Decode what arrives ``step`` bytes at a time."""
    chunked = ChunkedBody(bytearray(), LIMIT_BYTES, 1000)
    for begin in range(0, len(data), step):
        chunked.received += data[begin : begin + step]
        chunked.decode()
        if chunked.is_complete:
            chunked.received += data[begin + step :]
            break
    return chunked


class TestChunkedBody:
    @pytest.mark.parametrize("step", [1, 2, 7, 1000, 1_000_000])
    def test_body_is_changed(self, step):
        """Chunks of one size, of any sizes, and cut at any byte."""
        rng = random.Random(step)
        body = rng.randbytes(3000)
        for sizes in (
            [1] * 3000,
            [15] * 200,
            [3000],
            rng.choices(range(1, 40), k=3000),
        ):
            data = encode(body, sizes) + b"0\r\n\r\nGET / HTTP/1.1\r\n"
            chunked = decode(data, step)
            assert chunked.is_complete and chunked.body == body
            assert chunked.received == b"GET / HTTP/1.1\r\n"

    def test_extensions_and_trailers_are_skipped(self):
        data = b"A;name=value\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n"
        assert decode(data, 1).body == b"0123456789"

    @pytest.mark.parametrize(
        "data", [b"x\r\n", b"-1\r\n", b"1\r\nabc", b"1\nx\r\n", b"\r\n", b"1" * 5000]
    )
    def test_malformed_chunks_are_accepted(self, data):
        with pytest.raises((MalformedRequest, OverLongBody)):
            decode(data, 1)

    def test_bodies_and_trailers_have_no_limit(self):
        with pytest.raises(OverLongBody):
            decode(encode(b"x" * 2 * LIMIT_BYTES, [1000] * 200), 65536)
        with pytest.raises(OverLongBody):
            decode(b"ffffffff\r\n", 65536)
        with pytest.raises(OverLongHeader):
            decode(b"0\r\n" + b"X: y\r\n" * 1000, 65536)

    def test_extensions_have_no_limit(self):
        """A body must not consist of framing."""
        with pytest.raises(MalformedRequest):
            decode(b"1;" + b"x" * 3000 + b"\r\ny\r\n" * 200, 65536)
        chunk = b"1;" + b"x" * 3000 + b"\r\ny\r\n"
        with pytest.raises(MalformedRequest):
            decode(chunk * 200, 65536)
