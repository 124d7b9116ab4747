"""Stand-ins for a small deployment on loopback addresses: the platform's store, runners, callers,
and the routers as processes of their own. Everything but the routers runs in one event loop."""

import asyncio
import base64
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ROUTER = os.path.join(ROOT, "target", "bin", "greengage-routerd")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.ini.in")

# As on the settings page of the platform.
BOUNDS = {"revoke_ms": 5000, "strict_revoke": True, "budget_window_s": 10, "budget_ratio": 0.2,
          "budget_extra": 202, "grace_s": 8, "require_fence": True}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
MAX_RUN_S = 110
PR_SET_PDEATHSIG = 1
ZONES = ("rubavu", "karongi", "rusizi")
KEY = "key-of-the-first-tenant"
TENANT = "tenant-1"
HOST = "desk.example"


class CannotRun(Exception):
    """The case can't be played here."""


class Record:
    """Writes what is sent, answered and run to a file, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def add(self, text):
        self.file.write("%9.4f  %s\n" % (time.monotonic() - self.started, text))
        self.file.flush()


class Message:
    def __init__(self, first_line, fields, body):
        self.words = first_line.split(" ", 2)
        self.fields = fields  # list of (name, value)
        self.body = body

    def get(self, name, default=None):
        for known, value in self.fields:
            if known.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.words[0]

    @property
    def target(self):
        return self.words[1]

    @property
    def status(self):
        return int(self.words[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    return Message(lines[0], fields, b"")


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_request(reader):
    request = await read_head(reader)
    if request.get("Content-Length") is not None:
        request.body = await reader.readexactly(int(request.get("Content-Length")))
    elif "chunked" in request.get("Transfer-Encoding", "").lower():
        parts = []
        while True:
            parts.append(await read_chunk(reader))
            if not parts[-1]:
                break
        request.body = b"".join(parts)
    return request


def print_answer(status, fields, body=b""):
    lines = ["HTTP/1.1 %d Answer" % status] + ["%s: %s" % field for field in fields]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def set_nodelay(writer):
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset(writer):
    """Closes a connection so that the peer gets a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Server:
    """Serves connections at a free port of an address."""

    def __init__(self, ip):
        self.ip = ip
        self.server = None
        self.port = 0
        self.writers = set()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def listen(self):
        self.server = await asyncio.start_server(self.accept, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        set_nodelay(writer)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, ip):
        super().__init__(ip)
        self.revision = 100
        self.items = {}  # key -> item without its key
        self.events = []  # (revision, key, item or None)
        self.leases = {}  # number -> [ttl in ms, end]
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created": created, "lease": lease}
        self.note(key, self.items[key])

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note(key, None)

    def note(self, key, item):
        self.events.append((self.revision, key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        for lease, (_, end) in list(self.leases.items()):
            if end < time.monotonic():
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            status, body = await self.answer(request)
            writer.write(print_answer(status, [("Content-Type", "application/json"),
                                               ("Store-Era", "1")], json.dumps(body).encode()))
            await writer.drain()

    async def answer(self, request):
        self.expire()
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/api/kv-key":
            return self.read(query["key"])
        if url.path == "/api/kv-range":
            return self.list(query["path_prefix"], query.get("after", ""))
        if url.path == "/api/kv-watch":
            return await self.watch(query["path_prefix"], int(query["after"]),
                                    int(query["wait_ms"]))
        if url.path == "/api/kv-txn":
            return self.write(json.loads(request.body))
        if url.path == "/api/kv-lease":
            ttl = json.loads(request.body)["ttl_ms"]
            lease = 70000 + len(self.leases) + self.revision * 100
            self.leases[lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttl_ms": ttl}
        number = int(url.path.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, {}
        if url.path.startswith("/api/kv-keep/"):
            self.leases[number][1] = time.monotonic() + self.leases[number][0] / 1000
            return 200, {"ttl_ms": self.leases[number][0]}
        self.end_lease(number)
        return 200, {}

    def read(self, key):
        if key not in self.items:
            return 404, {"store_revision": self.revision}
        return 200, dict(self.items[key], key=key, store_revision=self.revision)

    def list(self, prefix, after):
        items = [dict(item, key=key) for key, item in sorted(self.items.items())
                 if key.startswith(prefix) and key > after]
        return 200, {"items": items, "has_more": False, "store_revision": self.revision}

    async def watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [dict(item, key=key) if item is not None
                      else {"key": key, "revision": revision, "is_gone": True}
                      for revision, key, item in self.events
                      if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass
            self.expire()

    def write(self, body):
        now = [(row["key"], self.items[row["key"]]["revision"] if row["key"] in self.items else 0)
               for row in body["expected"]]
        if any(row["revision"] != revision
               for row, (_, revision) in zip(body["expected"], now)):
            return 412, {"items": [dict(self.items[key], key=key) for key, _ in now
                                   if key in self.items]}
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}


class Runner(Server):
    """A runner, which registers in the store. Subclasses serve requests."""

    def __init__(self, deployment, service, zone, name, slots):
        super().__init__(deployment.new_ip())
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.zone = zone
        self.id = name
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.n_beats = 0
        self.task = None

    def get_entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "cold_left_ms": 0,
                "stage": "unified", "models": [], "born": self.born, "seq": self.n_beats}

    def beat(self):
        self.n_beats += 1
        self.deployment.store.put("servers/" + self.id, json.dumps(self.get_entry()).encode())

    async def start(self):
        await self.listen()
        self.beat()
        self.task = asyncio.ensure_future(self.keep_beating())

    async def keep_beating(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def get_target_failure(self, request):
        """Returns the answer to a request that is meant for another runner."""
        wanted = request.get("X-Target-Instance")
        if wanted is None or wanted == self.id:
            return None
        return print_answer(421, [("X-Not-Executed", "1"), ("X-Instance-Id", self.id),
                                  ("X-Attempt-Id", request.get("X-Attempt-Id", "-"))])


class ModelRunner(Runner):
    """A model runner that holds all layers once it is ordered to."""

    def __init__(self, deployment, service, zone, name):
        super().__init__(deployment, service, zone, name, 192)
        self.layers = None
        self.n_orders = 0
        self.n_served = 0

    def get_entry(self):
        entry = dict(super().get_entry(), kind="a100")
        entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        if self.layers is not None:
            entry["layers"] = self.layers
        return entry

    def get_report(self):
        report = {"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}],
                  "busy": False, "seq": self.n_orders, "queued": 0, "active": 1, "kv_used": 0,
                  "kv_total": 100000, "handles": 0, "born": self.born, "pace": 1.0,
                  "kind": "a100", "is_stalled": []}
        if self.layers is not None:
            report["layers"] = self.layers
        return report

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            failure = self.get_target_failure(request)
            if failure is not None:
                writer.write(failure)
            elif request.target == "/api/report":
                await self.wait_for_report()
                writer.write(print_answer(200, [("Content-Type", "application/json")],
                                          json.dumps(self.get_report()).encode()))
            elif request.target == "/api/order":
                writer.write(print_answer(self.take_order(json.loads(request.body)), []))
            else:
                await self.stream(request, reader, writer)
            await writer.drain()

    async def wait_for_report(self):
        """Delays the answer to a request for the report."""

    def take_order(self, order):
        if order["op"] != "place" or order.get("expected", self.n_orders) != self.n_orders:
            return 409
        self.n_orders += 1
        self.layers = {"from_rev": order["from_rev"], "to": order["to"], "version": 1}
        self.beat()
        return 202

    def begin_stream(self, request, writer):
        fields = [("Content-Type", "text/event-stream"),
                  ("X-Attempt-Id", request.get("X-Attempt-Id")), ("X-Weight-Versions", "1"),
                  ("X-Response-Signature", "sig." + request.get("X-Attempt-Id")),
                  ("Transfer-Encoding", "chunked")]
        lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % field for field in fields]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    @staticmethod
    def write_chunk(writer, data):
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    async def stream(self, request, reader, writer):
        raise NotImplementedError


ENGINE = {"slots": 192, "kv_capacity": 100000, "kv_token_bytes": 918000, "link_mbps": 400000.0,
          "stride": 3, "models": [{"name": "m", "pace": 1.0, "load_s": 0.2, "warm_s": 0.1}],
          "step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956,
          "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512, "report_lag_ms": 200.0,
          "loads_per_s": 0.0, "loads_at_once": 5, "delays": [],
          "usual": {"prompt": 774, "answer": 200}, "layers": 8, "layer_mb": 1750.0,
          "act_bytes": 45900, "pipe_mbps": 26000.0,
          "kinds": [{"name": "a100", "size_mb": 72000.0, "pace": 2.4, "read_factor": 3.2}]}


def make_route(name, kind, service, **more):
    route = {"name": name, "host": HOST, "path_prefix": "/%s/" % name, "kind": kind,
             "timeout_ms": 5000, "goal_ms": 500, "priority": 1, "service": service,
             "max_attempts": 1 if kind == "non_idempotent" else 2, "anonymous": False,
             "sticky": kind == "streaming"}
    if kind == "streaming":
        route.update(stream_resume=True, gap_target_ms=200)
    route.update(more)
    return route


def fill_template(text, values):
    def look_up(match):
        value = values
        for name in match.group(1).split("."):
            value = value[int(name)] if name.isdigit() else value[name]
        return str(value).lower() if isinstance(value, bool) else str(value)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", look_up, text)


class Router:
    """A router process, started as the deploy file says."""

    def __init__(self, deployment, name, zone):
        self.name = name
        self.ip = deployment.new_ip()
        self.deployment = deployment
        ports = [find_free_port(self.ip) for _ in range(2)]
        self.callers = (self.ip, ports[0])
        self.ready = (self.ip, ports[1])
        self.values = {"node": name, "zone": zone, "ip": self.ip, "bootstrap": True,
                       "limits": {"cpu_share": 0.25}, "inner_ports": [find_free_port(self.ip)],
                       "listen": {"front": "%s:%d" % self.callers,
                                  "ready_addr": "%s:%d" % self.ready},
                       "platform": {"address": deployment.store.address, "ttl_min_ms": 1000},
                       "bounds": BOUNDS}
        self.path = os.path.join(deployment.folder, name + ".ini")
        self.process = None
        self.n_starts = 0

    def start(self):
        with open(TEMPLATE, encoding="utf-8") as template, \
                open(self.path, "w", encoding="utf-8") as out:
            out.write(fill_template(template.read(), self.values))
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["GREENGAGEPOST_SETTINGS"] = self.path
        self.process = subprocess.Popen([ROUTER, "--settings", self.path], cwd=ROOT,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        env=environment, preexec_fn=end_with_parent)
        log.close()
        self.n_starts += 1
        self.values["bootstrap"] = False

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def stop(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


def end_with_parent():
    """Has the kernel end this process when its parent ends, however that happens."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def find_free_port(ip):
    with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        tcp.bind((ip, 0))
        udp.bind((ip, tcp.getsockname()[1]))
        return tcp.getsockname()[1]


class Deployment:
    def __init__(self, record_path):
        if not os.path.exists(ROUTER):
            raise CannotRun("no program at " + os.path.relpath(ROUTER, ROOT))
        self.folder = tempfile.mkdtemp(prefix="greengage-review-")
        self.record = Record(record_path)
        self.net = "127.%d.%d" % (random.randrange(64, 250), random.randrange(1, 250))
        self.n_ips = 0
        self.store = None
        self.runners = []
        self.routers = []
        self.routes = []
        self.services = []
        self.n_attempts = 0

    def new_ip(self):
        self.n_ips += 1
        return "%s.%d" % (self.net, self.n_ips)

    def new_attempt(self):
        self.n_attempts += 1
        return "attempt-%d" % self.n_attempts

    async def start(self, n_routers=3, zones=ZONES):
        self.store = Store(self.new_ip())
        await self.store.listen()
        for runner in self.runners:
            await runner.start()
        self.write_config(7)
        for i in range(n_routers):
            router = Router(self, "front-%d" % i, zones[i % len(zones)])
            self.routers.append(router)
            router.start()
        await self.wait_ready()

    def write_config(self, version):
        config = {"version": version, "routes": self.routes, "services": self.services,
                  "limits": LIMITS,
                  "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}
        self.store.put("op/config", json.dumps(config).encode())

    async def wait_ready(self):
        for _ in range(200):
            if all([await router.is_ready() for router in self.routers]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the routers don't become ready")

    async def wait_layers(self):
        for _ in range(200):
            if all(r.layers is not None for r in self.runners if isinstance(r, ModelRunner)):
                await asyncio.sleep(1.5)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("no layers were ordered")

    def stop(self):
        for router in self.routers:
            router.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_until_done(coroutine):
    """Runs a coroutine and returns its result. The other tasks are left as they are: they serve the
    routers, which still run."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    task = loop.create_task(coroutine)
    loop.run_until_complete(asyncio.wait({task}, timeout=MAX_RUN_S))
    if not task.done():
        raise CannotRun("not done after %d s" % MAX_RUN_S)
    return task.result()


def run_case(main, record_path):
    """Runs a case, writes its record, and ends the process with status 1 if the rule was broken, 0 if it held, 2 if
    the case can't run. @p main gets the deployment and whether the disruption takes place, and
    returns whether the rule was broken, and a line that says what was seen."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    status = 2
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        deployment = Deployment(record_path)
        is_broken, seen = run_until_done(main(deployment, trouble))
        deployment.record.add("result: " + seen)
        print("rule broken:" if is_broken else "rule held:", seen)
        status = 1 if is_broken else 0
    except (CannotRun, OSError) as error:
        print("can't run:", repr(error))
    finally:
        if deployment is not None:
            deployment.stop()
    sys.stdout.flush()
    # Connections of the event loop, which has ended, would complain when they are collected.
    os._exit(status)


def print_request(method, target, attempt, deadline_ms, body=b"", fields=()):
    lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + HOST, "X-Attempt-Id: " + attempt,
             "X-Deadline-Ms: %d" % deadline_ms, "Authorization: Bearer " + KEY]
    lines += ["%s: %s" % field for field in fields]
    if body:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Caller:
    """A caller with one kept connection."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
            set_nodelay(self.writer)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def read_answer(self):
        answer = await read_head(self.reader)
        if answer.get("Content-Length") is not None:
            answer.body = await self.reader.readexactly(int(answer.get("Content-Length")))
        elif "chunked" in answer.get("Transfer-Encoding", ""):
            while True:
                chunk = await read_chunk(self.reader)
                if not chunk:
                    break
                answer.body += chunk
        if answer.get("Connection", "").lower() == "close":
            self.close()
        return answer

    async def call(self, text, timeout_s):
        """Sends a request. Returns its answer, or None if the connection ends before."""
        try:
            await self.open()
            self.writer.write(text)
            return await asyncio.wait_for(self.read_answer(), timeout_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            return None
