"""Imports of a program that is starting."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def pause_garbage_collection() -> Iterator[None]:
    """Collect no garbage meanwhile, and never look at what was made until the end.

    Imports make many objects that stay for as long as the process, so that each
    collection among them is in vain.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
