"""Tests of the names of scopes."""

import string

from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st

from medlarrail.core.deployment import AccountRule
from medlarrail.core.scopes import (
    ContextOwners,
    ContextScope,
    name_account,
    name_sharers,
    parse_scope,
)

NAMES = st.text(st.characters(codec="ascii", exclude_characters="/"), max_size=8)
HEADER_CHARS = frozenset(string.ascii_letters + string.digits + "!%-._~")
ACCOUNTS = ("derwent", "tayside", "!", "a/b", "%", "", "Škoda")


def build_owners(*names, isolated=()):
    """Return the owners by a document with these accounts."""
    return ContextOwners(
        tuple(AccountRule(name, isolated=name in isolated) for name in names)
    )


@define
class CachedParts:
    """The accounts that made the parts kept under each owner."""

    makers: dict[str, set[str]] = field(factory=dict)

    def run(self, owners: ContextOwners, account: str) -> set[str]:
        """Run a prompt, and return the accounts whose parts it uses."""
        kept = self.makers.setdefault(owners.find(account), set())
        kept.add(account)
        return kept - {account}


class TestScopes:
    @given(NAMES, NAMES, st.integers(0, 10**6))
    def test_a_scope_survives_a_round_trip(self, owner, model, version):
        scope = ContextScope(owner, model, version)
        assert parse_scope(str(scope)) == scope

    @given(st.text(max_size=12))
    def test_other_names_are_not_parsed(self, text):
        scope = parse_scope(text)
        assert scope is None or text.count("/") >= 2

    def test_version_and_account_give_distinct_names(self):
        names = {
            str(ContextScope(account, "m", version))
            for account in ("", "a")
            for version in (1, 2)
        }
        assert len(names) == 4


class TestOwners:
    @given(st.lists(st.sampled_from(ACCOUNTS), unique=True))
    def test_two_owners_have_one_name(self, isolated):
        """An account could be named like those that share, or like another account."""
        owners = {name_account(name) for name in ACCOUNTS} | {name_sharers(isolated)}
        assert len(owners) == len(ACCOUNTS) + 1
        assert all(HEADER_CHARS.issuperset(owner) for owner in owners)

    def test_names_change_where_nobody_is_isolated(self):
        """Deployments without isolated accounts keep what is cached."""
        assert build_owners("derwent", "tayside").find("tayside") == ""
        assert build_owners("derwent").find(None) == ""

    def test_accounts_that_are_not_isolated_share_nothing(self):
        owners = build_owners("derwent", "tayside", "forth", isolated=["derwent"])
        assert owners.find("tayside") == owners.find("forth") == owners.find(None)
        assert owners.find("derwent") == "derwent"

    def test_account_was_removed_while_its_request_waited(self):
        """It may have been isolated by the document of its removal."""
        assert build_owners("tayside").find("derwent") == "derwent"

    def test_one_of_two_rules_of_an_account_isolates_it(self):
        rules = (AccountRule("derwent", isolated=True), AccountRule("derwent"))
        assert ContextOwners(rules).find("derwent") == "derwent"

    @given(
        st.lists(
            st.fixed_dictionaries({name: st.sampled_from("sir") for name in "abc"}),
            min_size=1,
            max_size=8,
        ),
        st.lists(
            st.tuples(st.integers(0, 7), st.integers(0, 2), st.sampled_from("abc")),
            max_size=40,
        ),
    )
    def test_isolated_accounts_use_parts_of_others(self, documents, requests):
        """Documents in which each account shares, is isolated or removed follow each
        other, and entries are up to two documents behind. Parts that an account had
        made while it shared were used by others once it was isolated."""
        listed = [
            build_owners(
                *(name for name, state in states.items() if state != "r"),
                isolated=[name for name, state in states.items() if state == "i"],
            )
            for states in documents
        ]
        parts = CachedParts()
        for step, behind, account in sorted(requests, key=lambda request: request[0]):
            number = max(0, min(step, len(documents) - 1) - behind)
            if documents[number][account] == "r":
                continue
            used = parts.run(listed[number], account)
            if documents[number][account] == "i":
                assert not used
            assert not used & listed[number].isolated
