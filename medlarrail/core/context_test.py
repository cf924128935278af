"""Tests of the keys of context blocks."""

from medlarrail.core.context import ContextRoot, iterate_block_keys

ROOT = ContextRoot("lea-college", "seat-guide", "v1")


def list_keys(root: ContextRoot, prompt: str) -> list[str]:
    return list(iterate_block_keys(root, prompt, block_bytes=4))


class TestBlockKeys:
    def test_a_longer_prompt_keeps_the_keys_of_its_prefix(self):
        assert list_keys(ROOT, "abcdefgh") == list_keys(ROOT, "abcdefghijkl")[:2]

    def test_a_partial_block_has_no_key(self):
        assert len(list_keys(ROOT, "abcdefg")) == 1

    def test_accounts_versions_models_and_adapters_share_no_key(self):
        roots = [
            ROOT,
            ContextRoot("lea", "seat-guide", "v1"),
            ContextRoot("lea-college", "seat-guide", "v2"),
            ContextRoot("lea-college", "seat", "guidev1"),
            ContextRoot("lea-college", "seat-guide", "v1", "a"),
        ]
        keys = [key for root in roots for key in list_keys(root, "abcdefgh")]
        assert len(set(keys)) == len(keys)

    def test_moving_text_between_fields_changes_the_keys(self):
        left = list_keys(ContextRoot("ab", "c", "v"), "abcd")
        right = list_keys(ContextRoot("a", "bc", "v"), "abcd")
        assert left != right
