"""Another writer puts a value that can't be read among the entries of the runners."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
from deployment import (Caller, Runner, make_route, print_answer, print_request, read_request,
                        run_case)

SETTLE_S = 4.0
PLAY_S = 20.0
RESTART_S = 0.5  # pause before the platform starts a process again
VALUE_BYTES = 262144  # a quarter of value_bytes
N_ROUTERS = 3
ENDS = 3  # of one machine's processes, on two machines


class Desk(Runner):
    def __init__(self, deployment, zone, name):
        super().__init__(deployment, "mooring-desk", zone, name, 6)

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            attempt = request.get("X-Attempt-Id")
            self.record.add("%s runs %s" % (self.id, attempt))
            await asyncio.sleep(0.015)
            writer.write(print_answer(200, [("X-Attempt-Id", attempt),
                                            ("X-Response-Signature", "sig." + attempt)], b"free"))
            await writer.drain()


async def look_up(deployment, router, answers):
    end = time.monotonic() + PLAY_S
    while time.monotonic() < end:
        attempt = deployment.new_attempt()
        caller = Caller(router.callers)
        deployment.record.add("caller sends %s to %s" % (attempt, router.name))
        answer = await caller.call(print_request("GET", "/lookups/1", attempt, 1000), 1.5)
        caller.close()
        answers.append(answer.status if answer is not None else None)
        deployment.record.add("caller gets %s to %s" % (answers[-1] or "no answer", attempt))
        await asyncio.sleep(0.1)


async def restart(deployment, ends):
    """Starts each process again that has ended, as the platform does."""
    while True:
        await asyncio.sleep(0.05)
        for router in deployment.routers:
            status = router.process.poll()
            if status is None:
                continue
            ends[router.name] = ends.get(router.name, 0) + 1
            deployment.record.add("%s has ended by itself with %d" % (router.name, status))
            await asyncio.sleep(RESTART_S)
            router.start()


async def main(deployment, trouble):
    deployment.services = [{"name": "mooring-desk", "health_path": "/health", "max_conns": 110}]
    deployment.routes = [make_route("lookups", "idempotent", "mooring-desk", timeout_ms=1000)]
    deployment.runners = [Desk(deployment, "rubavu", "desk-0"), Desk(deployment, "karongi", "desk-1")]
    await deployment.start(N_ROUTERS)
    await asyncio.sleep(SETTLE_S)
    value = b"[" * VALUE_BYTES if trouble else b"[" * 20
    deployment.record.add("another writer puts a value of %d bytes" % len(value))
    deployment.store.put("servers/other-writer", value)
    ends, answers = {}, []
    task = asyncio.ensure_future(restart(deployment, ends))
    await asyncio.gather(*[look_up(deployment, router, answers) for router in deployment.routers])
    task.cancel()
    return (sum(n >= ENDS for n in ends.values()) >= 2,
            "processes ended by themselves: %s; %d of %d look-ups were answered"
            % (", ".join("%s %d times" % end for end in sorted(ends.items())) or "none",
               sum(a is not None for a in answers), len(answers)))


run_case(main, FOLDER)
