"""Tests of the codec."""

import pytest
from attrs import frozen

from medlarrail.core.codec import (
    decode,
    decode_error,
    decode_settings,
    encode,
    encode_error,
)
from medlarrail.core.entities import CallRule, Contract
from medlarrail.core.errors import (
    BadField,
    BadJson,
    MedlarError,
    Overloaded,
    SettingsInvalid,
    get_error_types,
)


@frozen
class Limits:
    """A part of settings."""

    body_bytes: int
    wait_s: float = 1.0


@frozen
class Settings:
    """Settings with a nested part and a list."""

    name: str
    limits: Limits
    members: tuple[Limits, ...] = ()


class TestDecode:
    def test_a_contract_survives_a_round_trip(self):
        contract = Contract("lea", ("ab",), calls=(CallRule("box-office", "once"),))
        assert decode(encode(contract), Contract) == contract

    def test_bad_json_raises_a_typed_error(self):
        with pytest.raises(BadJson):
            decode(b"{", Contract)

    def test_a_wrong_type_is_reported_with_its_location(self):
        with pytest.raises(BadField) as caught:
            decode(b'{"account": "lea", "share": "much"}', Contract)
        assert caught.value.place == "$.share"


class TestDecodeSettings:
    def test_all_faults_are_reported_with_their_locations(self):
        text = b'{"limits": {"body_bytes": "x", "wait": 1}, "members": [{}]}'
        with pytest.raises(SettingsInvalid) as caught:
            decode_settings(text, Settings)
        assert {fault.place for fault in caught.value.faults} == {
            "$.name",
            "$.limits.body_bytes",
            "$.limits.wait",
            "$.members[0].body_bytes",
        }


class TestErrors:
    def test_an_error_keeps_its_type_in_a_round_trip(self):
        error = decode_error(encode_error(Overloaded(endpoint="e", retry_after_s=2.5)))
        assert isinstance(error, Overloaded)
        assert error.retry_after_s == 2.5

    def test_every_error_type_survives_a_round_trip(self):
        for kind in get_error_types().values():
            assert type(decode_error(encode_error(kind()))) is kind

    def test_text_without_an_error_decodes_to_none(self):
        assert decode_error(b"<html>") is None

    def test_every_error_has_a_description(self):
        for kind in get_error_types().values():
            assert kind.__doc__ and not str(kind()).startswith(kind.__name__)
        assert issubclass(Overloaded, MedlarError)
