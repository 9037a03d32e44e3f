"""Stand-ins for the cases of the second review: the platform's store, backend
servers and callers, as the users' pages describe them, and the start of nodes
with the commands and the template of the deploy file. Standard library only."""

import asyncio
import json
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "shop.example"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

# Bounds of sites/kwan-rooms.toml, as the page SYSTEM states them.
BOUNDS = {
    "stable_window_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 47,
}
MEMORY_MB = 260
MAX_FDS = 4100
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CouldNotRun(Exception):
    """The machine or the build does not permit the case."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, directory):
        self.file = open(pathlib.Path(directory) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Message:
    """A request or a response with its headers and its body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_message(reader, answers_head=False):
    """Returns None at the end of the stream before a message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the head is incomplete") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers and not answers_head:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


def encode(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP/1.1 server that calls handle(message, writer) for each request."""

    idle_s = None  # time after which an idle connection is closed

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, address):
        host, port = address.rsplit(":", 1)
        self.server = await asyncio.start_server(
            self.serve, host, int(port), limit=1 << 20, backlog=1024
        )

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await asyncio.wait_for(read_message(reader), self.idle_s)
                if message is None:
                    break
                await self.answer_or_drop(reader, writer, message)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            asyncio.TimeoutError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer_or_drop(self, _reader, writer, message):
        await self.handle(message, writer)

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def json_answer(status, value):
    body = json.dumps(value).encode()
    return encode(
        f"HTTP/1.1 {status} X",
        [("Content-Type", "application/json"), ("Content-Length", len(body))],
        body,
    )


class Store(Server):
    """The platform's store: objects by kind and name, one revision, watches."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def put(self, kind, name, spec):
        async with self.changed:
            self.revision += 1
            entry = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "created": self.revision,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": None,
            }
            self.objects.setdefault(kind, {})[name] = entry
            self.events.append((self.revision, kind, {"object": entry, "deleted": False}))
            self.changed.notify_all()
            return entry

    async def remove(self, kind, name):
        async with self.changed:
            entry = self.objects.get(kind, {}).pop(name, None)
            if entry is not None:
                self.revision += 1
                self.events.append((self.revision, kind, {"object": entry, "deleted": True}))
                self.changed.notify_all()
            return entry

    async def handle(self, message, writer):
        method, target, _ = message.start.split(" ")
        path, _, query = target.partition("?")
        parts = path.strip("/").split("/")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if len(parts) < 3 or parts[:2] != ["fulmarshelf", "objects"]:
            writer.write(json_answer(404, {}))
            return
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if method == "GET" and name is None and "watch" in fields:
            writer.write(await self.watch(kind, fields))
        elif method == "GET" and name is None:
            items = sorted(
                self.objects.get(kind, {}).values(), key=lambda entry: entry["metadata"]["name"]
            )
            answer = {"items": items, "has_more": False, "store_revision": self.revision}
            writer.write(json_answer(200, answer))
        elif method == "GET":
            entry = self.objects.get(kind, {}).get(name)
            writer.write(json_answer(200 if entry else 404, entry or {}))
        elif method == "POST":
            spec = json.loads(message.body)
            new = spec["metadata"]["name"]
            if new in self.objects.get(kind, {}):
                writer.write(json_answer(409, self.objects[kind][new]))
            else:
                writer.write(json_answer(200, await self.put(kind, new, spec["spec"])))
        elif method == "PUT":
            spec = json.loads(message.body)
            writer.write(json_answer(200, await self.put(kind, name, spec["spec"])))
        elif method == "DELETE":
            entry = await self.remove(kind, name)
            writer.write(json_answer(200 if entry else 404, entry or {}))
        await writer.drain()

    async def watch(self, kind, fields):
        since = int(fields["watch"])
        deadline = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000

        def news():
            return [event for at, of, event in self.events if at > since and of == kind]

        async with self.changed:
            while not news() and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(
                        self.changed.wait(), max(0.001, deadline - time.monotonic())
                    )
                except asyncio.TimeoutError:
                    break
            return json_answer(200, {"events": news(), "store_revision": self.revision})


ROUTE_COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout_ms",
    "target_latency_ms",
    "priority",
    "max_attempts",
    "service",
]


def config(routes, services, version=7, limits=None):
    """A configuration as the page PROTOCOL shows it."""
    return {
        "version": f"{version:08x}",
        "routes": {
            "columns": ROUTE_COLUMNS,
            "rows": [[route[column] for column in ROUTE_COLUMNS] for route in routes],
        },
        "services": {
            "columns": ["name", "health_path", "max_connections", "protocol", "tls"],
            "rows": [[service, "/health", 574, "h1", False] for service in services],
        },
        "limits": {**LIMITS, **(limits or {})},
    }


def route(prefix, kind, service, timeout_ms=5000, **more):
    return {
        "name": "r-" + prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1500,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
        **more,
    }


class Worker(Server):
    """A backend server: runs `slots` requests at a time, queues a few more,
    rejects the others, and drops a request whose connection closes."""

    idle_s = 10

    def __init__(self, machine, record, slots=79, work_s=0.02, answer_bytes=400):
        super().__init__()
        self.machine = machine
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.free = asyncio.Semaphore(slots)
        self.held = 0
        self.running = 0
        self.arrivals = []  # (time, request id, path)
        self.runs = []
        self.beats = None

    def beat_body(self, state=None):
        self.sequence += 1
        return json.dumps(
            {
                "service": self.machine.service,
                "address": self.machine.app,
                "zone": self.machine.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state or self.state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def tell(self, method, body=b""):
        """Sends a notice to the node and returns the status of the answer."""
        try:
            answer = await asyncio.wait_for(
                ask(
                    self.machine.control,
                    method,
                    f"/fulmarshelf/instances/{self.instance}",
                    [("Content-Type", "application/json")],
                    body,
                ),
                1.0,
            )
            return answer.status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def beat_forever(self):
        while True:
            if self.state == "ready":
                await self.tell("PUT", self.beat_body())
            await asyncio.sleep(1.5)

    async def start(self):
        await self.listen(self.machine.app)
        self.beats = asyncio.create_task(self.beat_forever())

    def answer(self, status, request, more=(), body=b""):
        load = f"{self.running},{self.held - self.running},{self.slots}"
        headers = [
            ("X-Fulmarshelf-Request-Id", request),
            ("X-Fulmarshelf-Server-Load", load),
            *more,
            ("Keep-Alive", f"timeout={self.idle_s}"),
            ("Content-Length", len(body)),
        ]
        return encode(f"HTTP/1.1 {status} X", headers, body)

    async def answer_or_drop(self, reader, writer, message):
        """Runs the request until its connection closes."""
        task = asyncio.create_task(self.handle(message, writer))
        while not task.done():
            await asyncio.wait({task}, timeout=0.02)
            if reader.at_eof() or writer.transport.is_closing():
                task.cancel()
                break
        await asyncio.gather(task, return_exceptions=True)

    async def handle(self, message, writer):
        _, target, _ = message.start.split(" ")
        request = message.get("X-Fulmarshelf-Request-Id", "")
        not_run = [("X-Fulmarshelf-Not-Executed", "1")]
        if target == "/health":
            writer.write(self.answer(200, request))
            return
        if message.get("X-Fulmarshelf-Expect-Instance", self.instance) != self.instance:
            writer.write(self.answer(421, request, not_run))
            return
        self.arrivals.append((time.monotonic(), request, target))
        self.record.write(f"worker {self.machine.name}: {request} arrives")
        if self.held >= self.slots + 4:
            writer.write(self.answer(503, request, not_run))
            return
        self.held += 1
        try:
            async with self.free:
                self.running += 1
                self.runs.append((time.monotonic(), request, target))
                self.record.write(f"worker {self.machine.name}: {request} runs")
                try:
                    await asyncio.sleep(self.work_s)
                finally:
                    self.running -= 1
        finally:
            self.held -= 1
        body = (request.encode() + b" " + b"x" * self.answer_bytes)[: self.answer_bytes]
        stamp = [("X-Fulmarshelf-Server-Stamp", f"stamp-{request}")]
        writer.write(self.answer(200, request, stamp, body))
        await writer.drain()

    def end(self):
        if self.beats is not None:
            self.beats.cancel()
        self.stop()


class Machine:
    """A machine with a node, and the addresses that the platform gives it."""

    def __init__(self, number, service, network, zones):
        self.name = f"sidecar-{number}"
        self.service = service
        self.zone = zones[number % len(zones)]
        self.ip = f"{network}.{number + 10}"
        self.inbound, self.app, self.ready, self.callers, self.control = (
            f"{self.ip}:{port}" for port in (8300, 8301, 8302, 8304, 8306)
        )
        self.process = None
        self.settings = None

    def fields(self, store):
        return {
            "node": self.name,
            "zone": self.zone,
            "region": "r",
            "ip": self.ip,
            "listen": {
                "inbound": self.inbound,
                "outbound": self.callers,
                "ready": self.ready,
                "control": self.control,
            },
            "internal_ports": [7620, 7635],
            "provider": {"address": store},
            "service": self.service,
            "app_addr": self.app,
            "bounds": BOUNDS,
        }


def render(template, fields):
    """Fills in the placeholders that deploy/node.ini uses."""

    def value_of(match):
        name, _, form = match.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                break
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([a-z0-9_.|]+)\}\}", value_of, template)


class Deployment:
    """Store, machines with nodes, and workers, on loopback addresses."""

    def __init__(self, services, record, zones=("z-a", "z-b", "z-c"), max_fds=None):
        self.record = record
        self.max_fds = max_fds
        self.directory = tempfile.mkdtemp(prefix="fulmarshelf-review-")
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store_address = f"{network}.9:8309"
        self.store = Store()
        self.machines = [
            Machine(number, service, network, zones) for number, service in enumerate(services)
        ]
        self.workers = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.role = deploy["roles"]["node"]
        self.template = (ROOT / self.role["template"]).read_text(encoding="utf-8")
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CouldNotRun("the build of the deploy file is missing")
        hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        if max_fds and resource.RLIM_INFINITY != hard_limit < max_fds:
            raise CouldNotRun(f"a process may open {hard_limit} files here, not {max_fds}")

    def start_node(self, machine):
        machine.settings = pathlib.Path(self.directory) / f"{machine.name}.ini"
        machine.settings.write_text(
            render(self.template, machine.fields(self.store_address)), encoding="utf-8"
        )
        log = open(pathlib.Path(self.directory) / f"{machine.name}.log", "ab")

        def limit():
            if self.max_fds:
                resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

        machine.process = subprocess.Popen(
            self.role["run"].split(),
            cwd=ROOT,
            env={"PATH": os.environ["PATH"], "FULMARSHELF_CONFIG": str(machine.settings)},
            stdout=log,
            stderr=log,
            preexec_fn=limit,
        )
        log.close()
        self.record.write(f"platform: starts the node of {machine.name}")

    async def start(self, spec, **worker_options):
        await self.store.listen(self.store_address)
        await self.store.put("config", "main", spec)
        for machine in self.machines:
            self.start_node(machine)
        for machine in self.machines:
            worker = Worker(machine, self.record, **worker_options)
            self.workers.append(worker)
            await worker.start()
        await self.wait_ready(self.machines)
        await asyncio.sleep(3.5)  # heartbeats, and stable_window_ms

    async def wait_ready(self, machines, timeout=15):
        until = time.monotonic() + timeout
        for machine in machines:
            while not await self.is_ready(machine):
                if time.monotonic() > until:
                    raise CouldNotRun(f"{machine.name} does not become ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, machine, timeout=1.0):
        try:
            answer = await asyncio.wait_for(
                ask(machine.ready, "GET", "/fulmarshelf/readiness", []), timeout
            )
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def worker_of(self, machine):
        return self.workers[self.machines.index(machine)]

    def stop(self, keep_logs=None):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        for worker in self.workers:
            worker.end()
        self.store.stop()
        if keep_logs:
            shutil.copytree(self.directory, keep_logs, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


class Answer:
    def __init__(self, message):
        self.status = int(message.start.split(" ")[1])
        self.headers = message.headers
        self.body = message.body

    def is_whole_success(self):
        return self.status == 200 and "x-fulmarshelf-server-stamp" in self.headers


async def connect(address, receive_buffer=None):
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.setblocking(False)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    limit = receive_buffer or 1 << 20
    return await asyncio.open_connection(sock=sock, limit=limit)


async def ask(address, method, path, headers, body=b""):
    """Sends one request on a new connection and returns its whole answer."""
    reader, writer = await connect(address)
    try:
        fields = [("Host", HOST), *headers]
        if body or method in ("POST", "PUT"):
            fields.append(("Content-Length", len(body)))
        writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("the connection closed without an answer")
        return Answer(message)
    finally:
        writer.close()


def request_headers(request, deadline_ms):
    return [
        ("X-Fulmarshelf-Request-Id", request),
        ("X-Fulmarshelf-Deadline-Ms", str(deadline_ms)),
    ]


def new_id():
    return f"{random.getrandbits(64):016x}"


async def call(record, machine, method, path, deadline_ms=5000, body=b"", connect_s=1.0):
    """One client attempt. Returns its status, or why there is none."""
    request = new_id()
    record.write(f"client at {machine.name}: sends {request} {method} {path}")
    try:
        answer = await asyncio.wait_for(
            ask(machine.callers, method, path, request_headers(request, deadline_ms), body),
            deadline_ms / 1000 + 0.5,
        )
        result = answer.status
        if answer.status == 200 and not answer.is_whole_success():
            result = "200 without a stamp"
    except asyncio.TimeoutError:
        result = "no answer"
    except (OSError, asyncio.IncompleteReadError) as error:
        result = f"closed ({type(error).__name__})"
    record.write(f"client at {machine.name}: {request} -> {result}")
    return request, result


class KeptClient:
    """A client that sends one request after another on a kept connection."""

    def __init__(self, record, machine, path):
        self.record = record
        self.machine = machine
        self.path = path
        self.answered = 0
        self.lost = 0  # requests that were sent whole on a connection that closed
        self.stopping = False

    async def run(self):
        reader, writer = await connect(self.machine.callers)
        while not self.stopping:
            request = new_id()
            self.record.write(f"kept client at {self.machine.name}: sends {request}")
            fields = [("Host", HOST), *request_headers(request, 5000)]
            try:
                writer.write(encode(f"GET {self.path} HTTP/1.1", fields))
                message = await asyncio.wait_for(read_message(reader), 5.5)
                if message is None:
                    raise ConnectionError("closed")
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                self.lost += 1
                self.record.write(
                    f"kept client at {self.machine.name}: {request} -> "
                    f"closed ({type(error).__name__})"
                )
                break
            self.answered += 1
            self.record.write(f"kept client at {self.machine.name}: {request} -> {message.start}")
            if message.get("Connection") == "close":
                break
            await asyncio.sleep(0.02)
        writer.close()


class MemoryLimit:
    """The platform kills a process that exceeds `memory_mb` (DEPLOY)."""

    def __init__(self, record, machines, limit_mb=MEMORY_MB):
        self.record = record
        self.machines = machines
        self.limit_mb = limit_mb
        self.peaks = {machine.name: 0.0 for machine in machines}
        self.killed = []

    async def watch(self):
        while True:
            for machine in self.machines:
                used = memory_mb(machine.process)
                self.peaks[machine.name] = max(self.peaks[machine.name], used)
                if used > self.limit_mb and machine not in self.killed:
                    self.killed.append(machine)
                    machine.process.kill()
                    self.record.say(
                        f"platform: {machine.name} uses {used:.0f} MB of {self.limit_mb}, killed"
                    )
            await asyncio.sleep(0.1)


def memory_mb(process):
    """Resident memory of a process that this script started."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


def run_case(directory, case):
    """Runs case(record, trouble) and exits as the issue of the review asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(directory)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except Exception as error:  # a fault of the script is no broken rule
        record.say(f"could not run: {type(error).__name__} {error}")
        sys.exit(COULD_NOT_RUN)
    record.say("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
