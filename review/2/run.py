"""Another writer puts an entry with a long text among the entries of the runners. Routers that hand
the list of runners to others stop answering."""
import asyncio
import json
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
from deployment import (Caller, Runner, make_route, print_answer, print_request, read_request,
                        run_case)

SETTLE_S = 4.0
PLAY_S = 20.0
TIMEOUT_S = 1.0  # timeout_ms of the route
SLACK_S = 0.5
NAME_BYTES = 300
N_ROUTERS = 6
N_CALLERS = 8  # with a kept connection to each router
ROUTER_ZONES = ("rubavu", "karongi")  # three routers in each


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


class Balancer:
    """Asks each router once a second whether it is ready, and gives no new connection to one that
    has not said so twice in a row."""

    def __init__(self, deployment):
        self.routers = deployment.routers
        self.misses = {router.name: 0 for router in self.routers}

    async def ask(self, router):
        while True:
            is_ready = await router.is_ready()
            self.misses[router.name] = 0 if is_ready else self.misses[router.name] + 1
            await asyncio.sleep(1)

    def choose(self):
        return random.choice([r for r in self.routers if self.misses[r.name] < 2] or self.routers)


async def look_up(deployment, balancer, router, times):
    """Sends look-ups on a kept connection, first to one router, and to another one after a look-up
    without an answer. Notes how long each answer took, None for none by the time that the rule
    allows."""
    end = time.monotonic() + PLAY_S
    caller = Caller(router.callers)
    while time.monotonic() < end:
        attempt = deployment.new_attempt()
        sent = time.monotonic()
        deployment.record.add("caller sends %s to %s" % (attempt, router.name))
        answer = await caller.call(print_request("GET", "/lookups/1", attempt, 5000),
                                   TIMEOUT_S + SLACK_S)
        times.append((router.name, time.monotonic() - sent if answer is not None else None))
        deployment.record.add("caller gets %s to %s" % (
            "no answer" if answer is None else answer.status, attempt))
        if answer is None:
            router = balancer.choose()
            caller = Caller(router.callers)
        await asyncio.sleep(0.1)
    caller.close()


def write_entry(deployment, entry):
    deployment.record.add("another writer puts an entry with a service of %d bytes"
                          % len(entry["service"]))
    deployment.store.put("servers/other-writer", json.dumps(entry).encode())


async def main(deployment, trouble):
    deployment.services = [{"name": "mooring-desk", "health_path": "/health", "max_conns": 110}]
    deployment.routes = [make_route("lookups", "idempotent", "mooring-desk",
                                    timeout_ms=int(TIMEOUT_S * 1000))]
    deployment.runners = [Desk(deployment, "rubavu", "desk-0"), Desk(deployment, "karongi", "desk-1")]
    await deployment.start(N_ROUTERS, ROUTER_ZONES)
    await asyncio.sleep(SETTLE_S)
    # Complete and of the right types, with a service that isn't named in the configuration.
    entry = dict(deployment.runners[0].get_entry(), address=deployment.new_ip() + ":9",
                 service="n" * (NAME_BYTES if trouble else 30))
    asyncio.get_running_loop().call_later(2, write_entry, deployment, entry)
    balancer = Balancer(deployment)
    tasks = [asyncio.ensure_future(balancer.ask(router)) for router in deployment.routers]
    times = []
    await asyncio.gather(*[look_up(deployment, balancer, router, times)
                           for router in deployment.routers for _ in range(N_CALLERS)])
    for task in tasks:
        task.cancel()
    states = [(router.name, await router.is_ready()) for router in deployment.routers]
    silent = [name for name, is_ready in states if not is_ready]
    over = [took for _, took in times if took is None or took > TIMEOUT_S]
    unanswered = [took for took in over if took is None]
    return (len(over) >= 8 and len(unanswered) * 2 > len(over),
            "%d look-ups, %d unanswered at the route's timeout_ms, %d of them 0.5 s later too; "
            "routers that no longer answer the question whether they are ready: %s"
            % (len(times), len(over), len(unanswered), ", ".join(silent) or "none"))


run_case(main, os.path.join(FOLDER, "record.txt"))
