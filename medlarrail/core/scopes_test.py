"""Tests of the names of scopes."""

from hypothesis import given
from hypothesis import strategies as st

from medlarrail.core.scopes import ContextScope, parse_scope

NAMES = st.text(st.characters(codec="ascii", exclude_characters="/"), max_size=8)


class TestScopes:
    @given(NAMES, NAMES, st.integers(0, 10**6))
    def test_a_scope_survives_a_round_trip(self, account, model, version):
        scope = ContextScope(account, model, version)
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
