"""Tests of authenticated datagrams."""

import trio
from hypothesis import given
from hypothesis import strategies as st

from medlarrail.core.metrics import get_metrics
from medlarrail.transport.datagrams import DatagramPort, open_sealed, seal

KEY = "a-key-for-this-test"


class TestSeal:
    @given(st.binary(max_size=300))
    def test_a_sealed_body_survives_a_round_trip(self, body):
        assert open_sealed(KEY, seal(KEY, body)) == body

    @given(st.binary(min_size=1, max_size=60), st.data())
    def test_any_changed_byte_invalidates_the_seal(self, body, data):
        sealed = bytearray(seal(KEY, body))
        position = data.draw(st.integers(0, len(sealed) - 1))
        sealed[position] ^= data.draw(st.integers(1, 255))
        assert open_sealed(KEY, bytes(sealed)) is None

    @given(st.binary(max_size=60))
    def test_bytes_without_a_seal_are_rejected(self, data):
        assert open_sealed(KEY, data) is None

    def test_another_key_is_rejected(self):
        assert open_sealed("another-key", seal(KEY, b"news")) is None


async def open_port(key: str = KEY) -> DatagramPort:
    port = DatagramPort("127.0.0.1:0", key)
    await port.open()
    return port


class TestPort:
    async def test_only_sealed_datagrams_arrive(self):
        receiver, stranger, sender = (
            await open_port(),
            await open_port("another-key"),
            await open_port(),
        )
        address = f"127.0.0.1:{receiver.get_port()}"
        await stranger.send(address, b"forged")
        await sender.send(address, b"news")
        with trio.fail_after(5):
            assert await receiver.receive() == b"news"
        assert get_metrics().get_count("datagrams_unsealed") == 1
        for port in (receiver, stranger, sender):
            port.close()

    async def test_sending_to_a_closed_port_does_not_stop_receiving(self):
        """The kernel reports the closed port as an error of a later receive."""
        port, closed = await open_port(), await open_port()
        address = f"127.0.0.1:{closed.get_port()}"
        closed.close()
        other = await open_port()
        for _ in range(3):
            await port.send(address, b"to nobody")
        await other.send(f"127.0.0.1:{port.get_port()}", b"news")
        with trio.fail_after(5):
            assert await port.receive() == b"news"
        port.close()
        other.close()
