"""Stand-ins of the third review: the store, backend servers and clients of the
users' platform, and the start of nodes with the commands of the deploy file.

Every machine has a loopback address of its own, so all machines use the same
ports, as they do on the platform."""

import asyncio
import itertools
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
STARTED = time.monotonic()

PORTS = {"inbound": 8300, "app": 8301, "ready": 8302, "outbound": 8304, "control": 8306}
BOUNDS = [
    "seed_lag_s=3",
    "reuse_after_s=2",
    "stable_window_ms=3000",
    "ack_ms=4000",
    "catch_up_s=4",
    "drain_ms=2000",
    "grace_s=6",
    "loss_slack_ms=200",
    "config_apply_ms=2000",
    "rollback_slack_ms=250",
    "max_skew_ms=5000",
    "budget_ratio=0.2",
    "budget_window_s=10",
    "budget_slack=47",
    "recovery_s=15",
]


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *parts):
        text = " ".join(str(part) for part in parts)
        self.file.write(f"{time.monotonic() - STARTED:9.4f} {text}\n")
        self.file.flush()


# Templates -----------------------------------------------------------------


def lookup(scope, name):
    value = scope
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template, fields):
    """Fills in the placeholders that deploy/node.ini uses."""

    def replace(match):
        name, _, form = match.group(1).partition("|")
        value = lookup(fields, name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    return re.sub(r"\{\{([a-z_0-9.|]+)\}\}", replace, template)


# HTTP/1.1 ------------------------------------------------------------------


class Message:
    """A message that was read: its first line, fields and body."""

    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    def field(self, name):
        return next((v for n, v in self.fields if n.lower() == name.lower()), None)

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader, has_body=True):
    """Reads one message; None when the connection ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as fault:
        if fault.partial:
            raise ConnectionError("the head is incomplete") from fault
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name, value.strip()))
    message = Message(lines[0], fields, b"")
    if not has_body:
        return message
    if (message.field("Transfer-Encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return message
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = message.field("Content-Length")
    if length:
        message.body = await reader.readexactly(int(length))
    return message


def encode(start, fields, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def json_answer(status, value, more=()):
    body = json.dumps(value).encode()
    fields = [("Content-Type", "application/json"), ("Content-Length", len(body)), *more]
    return encode(f"HTTP/1.1 {status} X", fields, body)


# The store -----------------------------------------------------------------


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self, address):
        self.address = address
        self.port = 8309
        self.revision = 7
        self.objects = {}
        self.events = []  # (revision, kind, object, deleted)
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    async def write(self, kind, name, spec, deleted=False):
        self.revision += 1
        known = self.objects.setdefault(kind, {})
        stored = known.get(name) or {
            "metadata": {
                "name": name,
                "created": self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "status": None,
        }
        stored = json.loads(json.dumps(stored))
        stored["metadata"]["revision"] = self.revision
        stored["spec"] = spec
        if deleted:
            known.pop(name, None)
        else:
            known[name] = stored
        self.events.append((self.revision, kind, stored, deleted))
        async with self.changed:
            self.changed.notify_all()
        return stored

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        method, target, _ = request.start.split(" ")
        path, _, query = target.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if part)
        parts = path.removeprefix("/fulmarshelf/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        known = self.objects.setdefault(kind, {})
        if method == "GET" and name:
            return json_answer(200, known[name]) if name in known else json_answer(404, {})
        if method == "GET" and "watch" in options:
            return await self.watch(kind, int(options["watch"]), int(options["wait_ms"]))
        if method == "GET":
            return json_answer(
                200,
                {
                    "items": [known[key] for key in sorted(known)],
                    "has_more": False,
                    "store_revision": self.revision,
                },
            )
        document = json.loads(request.body) if request.body else {}
        metadata = document.get("metadata", {})
        name = name or metadata.get("name")
        expected = metadata.get("revision", options.get("revision"))
        current = known.get(name)
        if method == "POST":
            if current:
                return json_answer(409, current)
            return json_answer(200, await self.write(kind, name, document.get("spec")))
        if current is None:
            return json_answer(404, {})
        if expected is not None and int(expected) != current["metadata"]["revision"]:
            return json_answer(409, current)
        if method == "DELETE":
            return json_answer(200, await self.write(kind, name, current["spec"], True))
        if document.get("spec") == current["spec"]:
            return json_answer(200, current)
        return json_answer(200, await self.write(kind, name, document.get("spec")))

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, of, stored, deleted in self.events
                if of == kind and revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return json_answer(200, {"events": events, "store_revision": self.revision})
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# Backend servers -------------------------------------------------------------


class Worker:
    """A backend server beside one node. `run` is a coroutine that gets each
    request that is run and returns (status, more fields, body)."""

    ids = itertools.count(1)

    def __init__(self, mesh, machine, service, run, slots=79, instance=None):
        self.mesh = mesh
        self.machine = machine
        self.service = service
        self.run = run
        self.slots = slots
        self.instance = instance or f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.tasks = set()
        self.beats = None

    @property
    def address(self):
        return f"{self.machine.ip}:{PORTS['app']}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.accept, self.machine.ip, PORTS["app"], limit=1 << 20
        )
        self.beats = asyncio.create_task(self.beat_always())
        return self

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def fields(self, request):
        load = f"{self.running},0,{self.slots}"
        return [
            ("X-Fulmarshelf-Request-Id", request.field("X-Fulmarshelf-Request-Id") or ""),
            ("X-Fulmarshelf-Server-Load", load),
        ]

    async def handle(self, request, reader, writer):
        expected = request.field("X-Fulmarshelf-Expect-Instance")
        identity = request.field("X-Fulmarshelf-Request-Id")
        if expected and expected != self.instance:
            self.mesh.record("refused", identity, "by", self.instance, "421 other instance")
            more = [("X-Fulmarshelf-Not-Executed", "1"), ("Content-Length", 0)]
            writer.write(encode("HTTP/1.1 421 X", self.fields(request) + more))
            await writer.drain()
            return True
        async with self.free:
            self.running += 1
            self.mesh.runs.append((time.monotonic(), identity, self, request))
            self.mesh.record(
                "run", identity, "by", self.service, self.instance, request.start.split(" ")[1]
            )
            try:
                status, more, body = await self.run(request)
            finally:
                self.running -= 1
        stamp = [("X-Fulmarshelf-Server-Stamp", f"{self.instance}.{identity}")]
        fields = self.fields(request) + stamp + list(more) + [("Content-Length", len(body))]
        writer.write(encode(f"HTTP/1.1 {status} X", fields, body))
        await writer.drain()
        return True

    async def beat_always(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self):
        """Sends a heartbeat; returns whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.machine.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()
        return await self.tell("PUT", body)

    async def tell(self, method, body=b""):
        fields = [("Host", "node"), ("Content-Length", len(body))]
        fields.append(("Content-Type", "application/json"))
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.machine.ip, PORTS["control"]), 1
            )
            try:
                target = f"/fulmarshelf/instances/{self.instance}"
                writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
                answer = await asyncio.wait_for(read_message(reader), 1)
                return answer is not None and answer.status // 100 == 2
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


# Clients ---------------------------------------------------------------------


class Answer:
    def __init__(self, identity, status, message, seconds):
        self.identity = identity
        self.status = status  # 0: no complete answer
        self.message = message
        self.seconds = seconds


class Client:
    """Sends requests to the outbound address of one machine."""

    def __init__(self, mesh, machine):
        self.mesh = mesh
        self.machine = machine
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.machine.ip, PORTS["outbound"], limit=1 << 20), 1
        )

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, method, target, host, deadline_ms, body=b"", more=(), identity=None):
        identity = identity or f"{random.getrandbits(64):016x}"
        started = time.monotonic()
        fields = [
            ("Host", host),
            ("X-Fulmarshelf-Request-Id", identity),
            ("X-Fulmarshelf-Deadline-Ms", deadline_ms),
            *more,
        ]
        if body or method in ("POST", "PUT"):
            fields.append(("Content-Length", len(body)))
        message = None
        try:
            if self.writer is None:
                await self.connect()
            self.mesh.record("sent", identity, method, target, "to", self.machine.name)
            self.writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            message = await asyncio.wait_for(
                read_message(self.reader, method != "HEAD"), deadline_ms / 1000
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as fault:
            self.mesh.record("no answer", identity, type(fault).__name__)
            self.close()
        status = message.status if message else 0
        seconds = time.monotonic() - started
        self.mesh.record("answered", identity, status, f"after {seconds:.3f} s")
        if message is None or (message.field("Connection") or "").lower() == "close":
            self.close()
        return Answer(identity, status, message, seconds)


async def ask_once(mesh, machine, *arguments, **options):
    client = Client(mesh, machine)
    try:
        return await client.ask(*arguments, **options)
    finally:
        client.close()


# Machines and the deployment ---------------------------------------------------


class Machine:
    def __init__(self, mesh, index, service, zone):
        self.mesh = mesh
        self.name = f"sidecar-{zone}-{index}"
        self.ip = f"{mesh.network}.{index + 10}"
        self.zone = zone
        self.service = service
        self.process = None
        self.worker = None
        self.first_start = True

    def settings(self):
        listen = {key: f"{self.ip}:{PORTS[key]}" for key in PORTS if key != "app"}
        return {
            "node": self.name,
            "role": "node",
            "machine_class": "sidecar",
            "serves": ["sidecar"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region",
            "listen": listen,
            "internal_ports": [7620, 7635],
            "seeds": [],
            "first_start": self.first_start,
            "limits": {"memory_mb": 260, "max_fds": 4100},
            "heartbeat_interval_ms": 1500,
            "bounds": dict(bound.split("=") for bound in self.mesh.bounds),
            "app_addr": f"{self.ip}:{PORTS['app']}",
            "service": self.service,
            "provider": {"address": f"{self.mesh.store.address}:{self.mesh.store.port}"},
        }

    def settings_file(self):
        return self.mesh.directory / f"{self.name}.conf"

    def write_settings(self):
        role = self.mesh.role
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        text = render(template, self.settings())
        self.settings_file().write_text(text, encoding="utf-8")

    async def start_node(self):
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "FULMARSHELF_CONFIG": str(self.settings_file()),
        }
        with open(self.mesh.directory / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self.mesh.role["run"]),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.first_start = False
        self.mesh.processes.append(self.process)
        self.mesh.record("started", self.name, "process", self.process.pid)

    def signal(self, number):
        self.mesh.record("signal", signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)

    async def operator(self, path):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, PORTS["ready"], limit=1 << 22), 2
            )
            try:
                writer.write(encode(f"GET {path} HTTP/1.1", [("Host", "node")]))
                return await asyncio.wait_for(read_message(reader), 2)
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def is_ready(self):
        page = await self.operator("/fulmarshelf/readiness")
        return page is not None and page.status == 200

    async def status(self):
        page = await self.operator("/status")
        return json.loads(page.body) if page and page.status == 200 else {}

    def memory_mb(self):
        pages = int(open(f"/proc/{self.process.pid}/statm").read().split()[1])
        return pages * os.sysconf("SC_PAGESIZE") / 1e6


def free_network():
    """Picks a loopback network on which no address is in use."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (*PORTS.values(), 7620, 8309, 9180):
                with socket.socket() as probe:
                    probe.bind((f"{network}.11", port))
            return network
        except OSError:
            continue
    raise NotRun("no loopback network is free")


class Mesh:
    """A small deployment: `services` maps each service to its machine count."""

    def __init__(self, directory, record, services, bounds=BOUNDS):
        self.directory = pathlib.Path(directory)
        self.record = record
        self.bounds = bounds
        self.network = free_network()
        with open(ROOT / "deploy" / "system.toml", "rb") as deploy:
            self.role = tomllib.load(deploy)["roles"]["node"]
        self.store = Store(f"{self.network}.9")
        self.processes = []
        self.runs = []  # (time, request id, worker, request)
        self.machines = []
        self.version = 0
        zones = itertools.cycle(["a", "b", "c"])
        for service, count in services.items():
            for _ in range(count):
                index = len(self.machines) + 1
                self.machines.append(Machine(self, index, service, next(zones)))

    def of(self, service):
        return [machine for machine in self.machines if machine.service == service]

    async def configure(self, routes, services=None, limits=None, tenants=None):
        """Writes the next configuration. `routes` are dictionaries of columns."""
        self.version += 3
        columns = [
            "name",
            "host",
            "path_prefix",
            "kind",
            "timeout_ms",
            "target_latency_ms",
            "priority",
            "traffic_split",
            "max_attempts",
            "service",
            "public",
        ]
        names = services or sorted({machine.service for machine in self.machines})
        spec = {
            "version": f"{self.version:08x}",
            "routes": {
                "columns": columns,
                "rows": [[route.get(column) for column in columns] for route in routes],
            },
            "services": {
                "columns": ["name", "health_path", "max_connections", "protocol", "tls"],
                "rows": [[name, "/health", 574, "h1", False] for name in names],
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                **(limits or {}),
            },
        }
        if tenants is not None:
            spec["tenants"] = tenants
        await self.store.write("config", "main", spec)
        self.record("configuration", spec["version"], f"{len(routes)} routes")

    async def start(self, routes, run, slots=79, **options):
        await self.store.start()
        await self.configure(routes, **options)
        for machine in self.machines:
            await machine.start_node()
        for machine in self.machines:
            machine.worker = Worker(self, machine, machine.service, run, slots)
            await machine.worker.start()
        await self.wait_until(self.is_complete, "all nodes know each other", 20)

    async def is_complete(self):
        for machine in self.machines:
            status = await machine.status()
            if status.get("phase") != "serving" or not status.get("backend"):
                return False
            alive = {m["node"]: m["service"] for m in status["members"] if m["status"] == "alive"}
            for other in self.machines:
                if other is not machine and alive.get(other.name) != other.service:
                    return False
        return True

    async def wait_until(self, condition, what, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise NotRun(f"waited {seconds} s until {what}")

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            await process.wait()


def route(name, service, kind, timeout_ms=5000, **more):
    return {
        "name": name,
        "host": "shop.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1500,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
        **more,
    }


HOST = "shop.example"


# The platform ------------------------------------------------------------------


class Platform:
    """Asks for readiness once a second, and kills a process that exceeds the memory
    of its machine and starts it again."""

    def __init__(self, mesh, memory_mb=260):
        self.mesh = mesh
        self.limit_mb = memory_mb
        self.peak_mb = {machine: 0.0 for machine in mesh.machines}
        self.misses = {machine: 0 for machine in mesh.machines}
        self.kills = 0
        self.tasks = []

    def start(self):
        for machine in self.mesh.machines:
            self.tasks.append(asyncio.create_task(self.probe_always(machine)))
            self.tasks.append(asyncio.create_task(self.watch_memory(machine)))

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def sends_work(self, machine):
        """Whether the clients of a machine get new work."""
        zone = [other for other in self.mesh.machines if other.zone == machine.zone]
        ready = sum(1 for other in zone if self.misses[other] < 2)
        return self.misses[machine] < 2 or 2 * ready < len(zone)

    async def probe_always(self, machine):
        while True:
            started = time.monotonic()
            try:
                ready = await asyncio.wait_for(machine.is_ready(), 1)
            except asyncio.TimeoutError:
                ready = False
            self.misses[machine] = 0 if ready else self.misses[machine] + 1
            if not ready:
                self.mesh.record("not ready", machine.name)
            await asyncio.sleep(max(0, started + 1 - time.monotonic()))

    async def watch_memory(self, machine):
        while True:
            await asyncio.sleep(0.02)
            try:
                used = machine.memory_mb() * 1e6 / (1 << 20)
            except (OSError, IndexError, ValueError):
                continue
            self.peak_mb[machine] = max(self.peak_mb[machine], used)
            if used <= self.limit_mb:
                continue
            self.kills += 1
            self.mesh.record(f"{machine.name} uses {used:.0f} MB of {self.limit_mb}; killed")
            machine.process.kill()
            await machine.process.wait()
            await asyncio.sleep(0.5)
            await machine.start_node()


class Timely:
    """Unsafe requests of ordinary clients, measured against the timeout of their
    route. The clients send new ones only while the machine gets new work."""

    def __init__(self, mesh, platform, machine, timeout_ms=1000, deadline_ms=5000):
        self.mesh = mesh
        self.platform = platform
        self.machine = machine
        self.timeout = timeout_ms / 1000
        self.deadline_ms = deadline_ms
        self.sent = []  # (time of sending, answer)
        self.tasks = []

    def start(self, kept, fresh):
        for index in range(kept + fresh):
            self.tasks.append(asyncio.create_task(self.ask_always(index < kept)))

    async def ask_always(self, kept):
        client = Client(self.mesh, self.machine)
        while True:
            if self.platform.sends_work(self.machine):
                started = time.monotonic()
                if not kept:
                    client.close()
                answer = await client.ask("POST", "/book/1", HOST, self.deadline_ms)
                self.sent.append((started, answer))
            await asyncio.sleep(0.2)

    async def stop(self):
        """Waits for the requests under way; the clients send no more."""
        self.platform.sends_work = lambda machine: False
        await asyncio.sleep(self.deadline_ms / 1000 + 0.3)
        self.cancel()

    def cancel(self):
        for task in self.tasks:
            task.cancel()

    def breaches(self, since):
        """Requests without an answer at the timeout, and half a second after it."""
        seconds = [
            answer.seconds if answer.status else self.deadline_ms / 1000
            for started, answer in self.sent
            if started >= since
        ]
        unanswered = [value for value in seconds if value > self.timeout]
        late = [value for value in unanswered if value > self.timeout + 0.5]
        text = (
            f"of {len(seconds)} requests {len(unanswered)} were unanswered at their "
            f"timeout, {len(late)} of them half a second later"
        )
        self.mesh.record(text)
        print(text)
        if len(late) > 5 and 2 * len(late) > len(unanswered):
            return [f"CONFIG: {text}"]
        return []


def main(folder, case, seconds=110):
    """Runs a case; `case(record, directory, trouble)` returns the breaches found."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record("trouble" if trouble else "no trouble")
    try:
        with tempfile.TemporaryDirectory(prefix="fulmarshelf-review-") as directory:
            breaches = asyncio.run(
                asyncio.wait_for(case(record, directory, trouble), seconds)
            )
    except Exception as fault:  # a fault of the script is no breach of a rule
        record("not run:", type(fault).__name__, fault)
        print(f"not run: {type(fault).__name__} {fault}")
        return 2
    for breach in breaches:
        record("breach:", breach)
        print(breach)
    print("the rule was broken" if breaches else "the rule held")
    return 1 if breaches else 0
