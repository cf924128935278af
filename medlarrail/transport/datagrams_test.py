"""Tests of authenticated datagrams."""

import trio
from hypothesis import given
from hypothesis import strategies as st

from medlarrail.core.metrics import get_metrics
from medlarrail.transport.datagrams import (
    DatagramSocket,
    sign_datagram,
    verify_datagram,
)

KEY = "a-key-for-this-test"


class TestSignature:
    @given(st.binary(max_size=300))
    def test_a_signed_body_survives_a_round_trip(self, body):
        assert verify_datagram(KEY, sign_datagram(KEY, body)) == body

    @given(st.binary(min_size=1, max_size=60), st.data())
    def test_any_changed_byte_invalidates_the_mac(self, body, data):
        signed = bytearray(sign_datagram(KEY, body))
        position = data.draw(st.integers(0, len(signed) - 1))
        signed[position] ^= data.draw(st.integers(1, 255))
        assert verify_datagram(KEY, bytes(signed)) is None

    @given(st.binary(max_size=60))
    def test_bytes_without_a_mac_are_rejected(self, data):
        assert verify_datagram(KEY, data) is None

    def test_another_key_is_rejected(self):
        assert verify_datagram("another-key", sign_datagram(KEY, b"news")) is None


async def open_port(key: str = KEY) -> DatagramSocket:
    port = DatagramSocket("127.0.0.1:0", key)
    await port.open()
    return port


class TestPort:
    async def test_only_signed_datagrams_are_received(self):
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
