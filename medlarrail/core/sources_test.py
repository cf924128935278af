"""Tests of the digest that tells landings apart."""

import pytest

from medlarrail.core.sources import get_source_digest


@pytest.fixture
def package(tmp_path):
    (tmp_path / "relay").mkdir()
    (tmp_path / "relay" / "pool.py").write_text("LIMIT = 1\n")
    return tmp_path


class TestSourceDigest:
    """Logs did not tell which landing a gateway ran."""

    @pytest.mark.parametrize("name", ["relay/pool.py", "relay/added.py"])
    def test_change_of_the_same_length_has_the_same_digest(self, package, name):
        before = get_source_digest(package)
        (package / name).write_text("LIMIT = 2\n")
        assert get_source_digest(package) != before

    @pytest.mark.parametrize("name", ["relay/pool_test.py", "relay/pool.pyc"])
    def test_files_that_do_not_run_change_the_digest(self, package, name):
        before = get_source_digest(package)
        (package / name).write_text("LIMIT = 2\n")
        assert get_source_digest(package) == before

    def test_renamed_module_has_the_same_digest(self, package):
        before = get_source_digest(package)
        (package / "relay" / "pool.py").rename(package / "pool.py")
        assert get_source_digest(package) != before
