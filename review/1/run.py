"""Bookings at a busy desk of two runners, one of which sends second copies of a few of its answers
late. A copy of a refusal reaches the router while it waits for the answer to the next send of the
same booking."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
from deployment import (Caller, Runner, ZONES, make_route, print_answer, print_request,
                        read_request, run_case)

PLAY_S = 80.0
WORK_S = (0.005, 0.025)
SLOTS = 1
QUEUE = 1
N_DESKS = 2
N_FAULTY = 1
N_ROUTERS = 9
N_CALLERS = 9
THINK_S = 0.02
# The dose of "extra late" in the site file: share 0.6 of the runners, x 0.03 of the answers, 5 s.
COPY_SHARE = 0.03
FAULT_S = 5.0
PAUSE_S = 1.0


class Desk(Runner):
    """Runs bookings in its slots, queues a few, and rejects what comes beyond."""

    def __init__(self, deployment, name, zone, is_faulty):
        super().__init__(deployment, "mooring-desk", zone, name, SLOTS)
        self.is_faulty = is_faulty
        self.slot = asyncio.Semaphore(SLOTS)
        self.n_accepted = 0
        self.runs = {}
        self.n_copies = 0
        self.n_answers = 0

    def is_copying(self):
        """Whether the fault is on, and its share isn't used up."""
        since_s = time.monotonic() - self.record.started
        return (self.is_faulty and since_s % (FAULT_S + PAUSE_S) < FAULT_S
                and self.n_copies + 1 <= COPY_SHARE * self.n_answers)

    async def serve(self, reader, writer):
        copy = None
        while True:
            request = await read_request(reader)
            attempt = request.get("X-Attempt-Id")
            task = asyncio.ensure_future(self.answer(request, attempt))
            if copy is not None and self.is_copying():
                self.n_copies += 1
                self.record.add("%s sends a second copy of its %s" % (self.id, copy[1]))
                writer.write(copy[0])
                await writer.drain()
            answer = await task
            self.n_answers += 1
            copy = answer if answer[1].startswith("503") else None
            self.record.add("%s answers %s" % (self.id, answer[1]))
            writer.write(answer[0])
            await writer.drain()

    async def answer(self, request, attempt):
        fields = [("X-Attempt-Id", attempt), ("X-Instance-Id", self.id)]
        failure = self.get_target_failure(request)
        if failure is not None:
            return failure, "421 to " + attempt
        if self.n_accepted >= SLOTS + QUEUE:
            return (print_answer(503, fields + [("X-Not-Executed", "1")]),
                    "503 (not executed) to " + attempt)
        self.n_accepted += 1
        async with self.slot:
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            self.record.add("%s runs %s" % (self.id, attempt))
            await asyncio.sleep(random.uniform(*WORK_S))
        self.n_accepted -= 1
        return (print_answer(200, fields + [("X-Response-Signature", "sig." + attempt)],
                             b"booked by " + attempt.encode()), "200 to " + attempt)


async def book(deployment, address, answers):
    caller = Caller(address)
    end = time.monotonic() + PLAY_S
    while time.monotonic() < end:
        attempt = deployment.new_attempt()
        deployment.record.add("caller sends " + attempt)
        text = print_request("POST", "/bookings/1", attempt, 1000, b"berth=4")
        answer = await caller.call(text, 2)
        answers[attempt] = answer.status if answer is not None else 0
        deployment.record.add("caller gets %d to %s" % (answers[attempt], attempt))
        await asyncio.sleep(random.uniform(0, THINK_S))
    caller.close()


async def main(deployment, trouble):
    deployment.services = [{"name": "mooring-desk", "health_path": "/health", "max_conns": 110}]
    deployment.routes = [make_route("bookings", "non_idempotent", "mooring-desk", timeout_ms=1000)]
    desks = [Desk(deployment, "desk-%d" % i, ZONES[i % 3], trouble and i < N_FAULTY)
             for i in range(N_DESKS)]
    deployment.runners = desks
    await deployment.start(N_ROUTERS)
    answers = {}
    await asyncio.gather(*[book(deployment, deployment.routers[i % N_ROUTERS].callers, answers)
                           for i in range(N_CALLERS)])
    await asyncio.sleep(1)
    runs = {}
    for desk in desks:
        for attempt, n in desk.runs.items():
            runs[attempt] = runs.get(attempt, 0) + n
    twice = [a for a, n in runs.items() if n > 1]
    refused = [a for a, status in answers.items() if status in (408, 421, 429, 503) and a in runs]
    return (bool(twice or refused),
            "%d bookings, %d second copies; TWICE: %d run more than once (%s); "
            "REFUSED: %d refused although they ran (%s)"
            % (len(answers), sum(d.n_copies for d in desks), len(twice), ", ".join(twice[:5]),
               len(refused), ", ".join(refused[:5])))


run_case(main, os.path.join(FOLDER, "record.txt"))
