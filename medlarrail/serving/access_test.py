"""Tests of keys: processes, operators and client accounts."""

import pytest

from medlarrail.cluster.follower import Follower
from medlarrail.core.errors import WrongKey
from medlarrail.programs.entry import build_guard
from medlarrail.serving.access import (
    AccountDirectory,
    Guard,
    KeyRing,
    get_digest,
)
from medlarrail.settings.common import Keys
from medlarrail.testing.builders import build_contract
from medlarrail.transport.routes import Request

KEYS = Keys("cluster-key-123456", "endpoint-key", (get_digest("operator-key"),))


def build_request(path: str, key: str) -> Request:
    return Request("POST", path, {"authorization": f"Bearer {key}"})


class TestGuard:
    @pytest.mark.parametrize(
        ("path", "allowed"),
        [
            ("/internal/permit/acquire", {"cluster-key-123456"}),
            ("/v1/announce", {"cluster-key-123456", "endpoint-key"}),
            ("/v1/report", {"cluster-key-123456", "endpoint-key"}),
            ("/v1/status", {"cluster-key-123456", "operator-key"}),
            ("/metrics", {"cluster-key-123456", "operator-key"}),
        ],
    )
    def test_each_path_accepts_only_its_keys(self, path, allowed):
        guard = build_guard(KEYS)
        for key in ("cluster-key-123456", "endpoint-key", "operator-key", "x", ""):
            request = build_request(path, key)
            if key in allowed:
                guard(request)
            else:
                with pytest.raises(WrongKey):
                    guard(request)

    def test_the_longest_matching_prefix_applies(self):
        guard = Guard(
            {"/v1/": KeyRing.from_keys("a"), "/v1/status": KeyRing.from_keys("b")}
        )
        guard(build_request("/v1/status", "b"))
        with pytest.raises(WrongKey):
            guard(build_request("/v1/status", "a"))

    def test_an_empty_key_is_never_valid(self):
        assert not KeyRing.from_keys("").contains("")


class TestAccountDirectory:
    def build(self):
        follower = Follower(None, ())
        directory = AccountDirectory(follower)
        return follower.catalogue, directory

    def set_contract(self, catalogue, directory, **changes):
        contract = build_contract(**changes)
        catalogue.contracts[contract.account] = contract
        directory.update()

    def test_a_key_finds_its_contract(self):
        catalogue, directory = self.build()
        self.set_contract(catalogue, directory, keys_sha256=(get_digest("k1"),))
        assert directory.find_contract("k1").account == "lea-college"

    def test_a_replaced_key_is_rejected(self):
        catalogue, directory = self.build()
        self.set_contract(catalogue, directory, keys_sha256=(get_digest("k1"),))
        self.set_contract(catalogue, directory, keys_sha256=(get_digest("k2"),))
        assert directory.find_contract("k2")
        with pytest.raises(WrongKey):
            directory.find_contract("k1")

    def test_the_key_of_a_deleted_contract_is_rejected(self):
        catalogue, directory = self.build()
        self.set_contract(catalogue, directory, keys_sha256=(get_digest("k1"),))
        catalogue.contracts.clear()
        directory.update()
        with pytest.raises(WrongKey):
            directory.find_contract("k1")

    def test_a_missing_key_is_rejected(self):
        _, directory = self.build()
        with pytest.raises(WrongKey):
            directory.find_contract("")
