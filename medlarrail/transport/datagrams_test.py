"""Tests of authenticated datagrams."""

import hmac

import trio
from hypothesis import given
from hypothesis import strategies as st

from medlarrail.core.metrics import get_metrics
from medlarrail.transport.datagrams import (
    MAC_BYTES,
    DatagramSocket,
    sign_datagram,
    verify_datagram,
)

KEY = "a-key-for-this-test"


class TestSignature:
    @given(st.binary(max_size=300))
    def test_a_signed_body_survives_a_round_trip(self, body):
        assert verify_datagram(KEY, sign_datagram(KEY, body)) == body

    @given(st.text(max_size=20), st.lists(st.binary(max_size=60), max_size=3))
    def test_mac_differs_from_that_of_the_previous_release(self, key, bodies):
        """The MAC of each key begins from a state that all datagrams share."""
        for body in bodies:
            mac = hmac.digest(key.encode(), body, "sha256")[:MAC_BYTES]
            assert sign_datagram(key, body) == mac + body

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


async def open_socket(key: str = KEY) -> DatagramSocket:
    sock = DatagramSocket("127.0.0.1:0", key)
    await sock.open()
    return sock


class TestDatagramSocket:
    async def test_only_signed_datagrams_are_received(self):
        receiver, stranger, sender = (
            await open_socket(),
            await open_socket("another-key"),
            await open_socket(),
        )
        address = f"127.0.0.1:{receiver.get_port()}"
        stranger.send([address], b"forged")
        sender.send([address], b"news")
        with trio.fail_after(5):
            assert await receiver.receive() == [b"news"]
        assert get_metrics().get_count("datagrams_unsealed") == 1
        for sock in (receiver, stranger, sender):
            sock.close()

    async def test_sending_to_a_closed_port_does_not_stop_receiving(self):
        """The kernel reports the closed port as an error of a later receive."""
        sock, closed = await open_socket(), await open_socket()
        address = f"127.0.0.1:{closed.get_port()}"
        closed.close()
        other = await open_socket()
        for _ in range(3):
            sock.send([address], b"to nobody")
        other.send([f"127.0.0.1:{sock.get_port()}"], b"news")
        with trio.fail_after(5):
            assert await sock.receive() == [b"news"]
        sock.close()
        other.close()
