"""Tests of the decision which answers are given up for lack of memory."""

import random

from medlarrail.policy.answer_memory import AnswerMemory
from medlarrail.policy.held_memory import MIN_STALL_S, Holding

LIMIT_BYTES = 10_000
PART_BYTES = 100


def replay(seed: int, endless: int) -> tuple[int, int, int]:
    """Return the peak of memory and how many ordinary and endless answers were dropped.

    Parts of 10 ordinary answers of 3 parts each, and of endless ones, arrive in turn.
    """
    rng = random.Random(seed)
    memory = AnswerMemory(LIMIT_BYTES)
    endless_answers = [memory.open() for _ in range(endless)]
    ordinary = {memory.open(): 3 for _ in range(10)}
    peak = dropped = 0
    for _ in range(2000):
        answer = rng.choice([*endless_answers, *ordinary])
        memory.add(answer, b"x" * PART_BYTES, 0.0)
        peak = max(peak, sum(len(held.data) for held in memory.answers))
        assert memory.held_bytes == sum(len(held.data) for held in memory.answers)
        if answer in ordinary:
            ordinary[answer] -= 1
            if not ordinary[answer]:
                del ordinary[answer]
                dropped += answer.is_dropped
                memory.close(answer)
                ordinary[memory.open()] = 3
    return peak, dropped, sum(answer.is_dropped for answer in endless_answers)


class TestAnswerMemory:
    def test_endless_answers_take_the_room_of_ordinary_ones(self):
        for seed in range(100):
            peak, ordinary, endless = replay(seed, endless=20)
            assert peak <= LIMIT_BYTES
            assert ordinary == 0
            assert endless

    def test_closed_answer_is_still_counted(self):
        memory = AnswerMemory(LIMIT_BYTES)
        answer = memory.open()
        memory.add(answer, b"x" * PART_BYTES, 0.0)
        memory.close(answer)
        memory.close(answer)
        assert memory.held_bytes == 0 and not memory.answers

    def test_single_answer_beyond_the_limit_is_held(self):
        memory = AnswerMemory(LIMIT_BYTES)
        answer = memory.open()
        memory.add(answer, b"x" * (LIMIT_BYTES + 1), 0.0)
        assert answer.is_dropped and memory.held_bytes == 0
        memory.add(answer, b"x", 0.0)
        assert memory.held_bytes == 0

    def test_answers_that_nobody_reads_take_the_room_of_larger_ones(self):
        ended = []
        memory = AnswerMemory(LIMIT_BYTES)
        for number in range(3):
            unread = memory.open(lambda number=number: ended.append(number))
            memory.resize(unread, 2000, 0.0)
            unread.reader = Holding("callers", 0.0, "writing")
        read = memory.open()
        memory.resize(read, 3000, 0.0)
        read.reader = Holding("callers", 0.0, "writing")
        read.reader.start("writing", MIN_STALL_S)
        memory.resize(memory.open(), 4000, MIN_STALL_S)
        assert len(ended) == 2 and not read.is_dropped
        assert memory.held_bytes == 2000 + 3000 + 4000
