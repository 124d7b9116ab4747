"""A part of prompts crashes each runner that begins to write an answer on it, before any byte of the
answer has left the runner, or, with MOMENT=after, just after the first event."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
from deployment import (CONTACT_S, Caller, ENGINE, ModelRunner, ZONES, make_route, print_request,
                        reset, run_case)

PLAY_S = 45.0
SOUND_S = 5.0  # without requests with the crashing part
GAP_S = 0.05  # between two requests
BAD_EVERY = 16
DOWN_S = 3.0
FIRST_TOKEN_S = 0.04
EVENT_S = 0.03
N_EVENTS = 10
N_RUNNERS = 9
N_ROUTERS = 3
BAD_PART = "bad0"
MOMENT = os.environ.get("MOMENT", "before")


class Model(ModelRunner):
    def __init__(self, deployment, zone, name, trouble):
        super().__init__(deployment, "reader-model", zone, name)
        self.trouble = trouble
        self.is_down = False

    async def stream(self, request, reader, writer):
        attempt = request.get("X-Attempt-Id")
        is_bad = BAD_PART + ":" in request.get("X-Prefix-Hash")
        self.record.add("%s receives %s%s" % (self.id, attempt, " (bad part)" if is_bad else ""))
        self.deployment.received.append((attempt, is_bad))
        await asyncio.sleep(FIRST_TOKEN_S)
        if self.is_down:
            raise ConnectionError
        self.record.add("%s runs %s" % (self.id, attempt))
        self.deployment.begun.add(attempt)
        first = int(request.get("Last-Event-Id", "0")) + 1
        if is_bad and self.trouble:
            if MOMENT == "after":
                self.begin_stream(request, writer)
                self.write_event(writer, first)
                await writer.drain()
                await asyncio.sleep(0.01)
            asyncio.ensure_future(self.crash())
            await asyncio.sleep(DOWN_S)
            raise ConnectionError
        self.begin_stream(request, writer)
        for i in range(first, N_EVENTS + 1):
            self.write_event(writer, i)
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")

    def write_event(self, writer, i):
        self.write_chunk(writer, b"id: %d\ndata: tokens\n\n" % i)

    async def crash(self):
        if self.is_down:
            return
        self.is_down = True
        self.record.add("%s crashes" % self.id)
        self.deployment.crashes.append(time.monotonic())
        self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        await asyncio.sleep(DOWN_S)
        # Starts again, empty, under the id that it had.
        self.born = int(time.time() * 1000)
        self.layers = None
        self.n_orders = 0
        self.n_beats = 0
        self.is_down = False
        await self.start()
        self.record.add("%s is back" % self.id)


async def call(deployment, address, is_bad, sent, answers):
    attempt = deployment.new_attempt()
    parts = "f00d:40,%s:300,%x:400" % (BAD_PART if is_bad else "900d%d" % random.randrange(20),
                                       random.randrange(1 << 30))
    text = print_request("POST", "/drafts/1", attempt, 5000, b"draft",
                         [("X-Model", "m"), ("X-Token-Count", "740,30"), ("X-Prefix-Hash", parts)])
    caller = Caller(address)
    deployment.record.add("caller sends %s%s" % (attempt, " (bad part)" if is_bad else ""))
    sent[attempt] = time.monotonic()
    answer = await caller.call(text, 6)
    caller.close()
    answers[attempt] = answer.status if answer is not None else None
    deployment.record.add("caller gets %s to %s" % (answers[attempt] or "a cut answer", attempt))


async def main(deployment, trouble):
    deployment.received, deployment.crashes, deployment.begun = [], [], set()
    deployment.services = [{"name": "reader-model", "health_path": "/health", "max_conns": 1078,
                            "engine": ENGINE}]
    deployment.routes = [make_route("drafts", "streaming", "reader-model")]
    deployment.runners = [Model(deployment, ZONES[i % 3], "model-%d" % i, trouble)
                          for i in range(N_RUNNERS)]
    await deployment.start(N_ROUTERS)
    await deployment.wait_layers()
    sent, answers, bad, tasks = {}, {}, set(), []
    start = time.monotonic()
    n = 0
    while time.monotonic() < start + PLAY_S:
        n += 1
        is_bad = n % BAD_EVERY == 0 and time.monotonic() > start + SOUND_S
        tasks.append(asyncio.ensure_future(
            call(deployment, deployment.routers[n % N_ROUTERS].callers, is_bad, sent, answers)))
        if is_bad:
            bad.add("attempt-%d" % (deployment.n_attempts + 1))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)
    crashes = sorted(deployment.crashes)
    fifth = crashes[4] if len(crashes) >= 5 else None
    late = [a for a, is_bad in deployment.received
            if is_bad and fifth is not None and sent[a] > fifth + CONTACT_S]
    sound = [a for a in sent if a not in bad]
    before = [a for a in sound if sent[a] < start + SOUND_S]
    after = [a for a in sound if fifth is not None and sent[a] > fifth + 2 * CONTACT_S]
    return (len(late) > 3,
            "%d requests with the bad part, %d crashes; requests with it that reached runners, sent "
            "later than 3 s after the fifth crash: %d; sound requests that were served: %d of %d "
            "before the first crash, %d of %d from 6 s after the fifth one on"
            % (len(bad), len(crashes), len(late), sum(answers[a] == 200 for a in before),
               len(before), sum(answers[a] == 200 for a in after), len(after)))


run_case(main, os.path.join(FOLDER, "record.txt"))
