"""Stand-ins for the users' platform, its workers and its clients, and the start of
nodes with the commands of the deploy file. Everything is on loopback addresses."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"
KIND_CONFIG = "config"
REQUEST_ID = "X-Fulmarshelf-Request-Id"
DEADLINE = "X-Fulmarshelf-Deadline-Ms"
EXPECT = "X-Fulmarshelf-Expect-Instance"
STAMP = "X-Fulmarshelf-Server-Stamp"
LOAD = "X-Fulmarshelf-Server-Load"
NOT_EXECUTED = "X-Fulmarshelf-Not-Executed"
PORTS = {"inbound": 8300, "app": 8301, "ready": 8302, "outbound": 8304, "control": 8306}
INTERNAL_PORTS = [7620, 7635]

# Figures of sites/kwan-rooms.toml.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 47,
    "recovery_s": 15,
}
HEARTBEAT_S = 1.5


def trouble():
    """False when the script shall run without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Message:
    """A request or a response that was read from a connection."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_message(reader):
    """Reads a message with a length or in chunks; None when the peer closed."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def encode(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self, address):
        self.address = address
        self.revision = 10
        self.objects = {}
        self.changes = []  # (revision, kind, object, deleted)
        self.changed = asyncio.Condition()
        self.turned_away = set()  # machines whose connections the store resets
        self.writers = {}  # of the connections, by machine
        self.watched_at = {}  # time of the last watch of the configuration, by machine

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def start_for(self, machine):
        """Serves a machine at its own address, by which the store knows it."""
        machine.store_address = (self.address[0], self.address[1] + machine.number)

        async def serve(reader, writer):
            await self.serve(reader, writer, machine)

        machine.store_server = await asyncio.start_server(serve, *machine.store_address)

    def turn_away(self, machines):
        """Resets all connections of these machines, and serves the others."""
        self.turned_away = set(machines)
        for machine in machines:
            for writer in self.writers.pop(machine, set()):
                writer.transport.abort()

    async def serve(self, reader, writer, machine=None):
        self.writers.setdefault(machine, set()).add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while request := await read_message(reader):
                if machine in self.turned_away:
                    writer.transport.abort()
                    return
                if f"/{KIND_CONFIG}?watch=" in request.first_line:
                    self.watched_at[machine] = time.monotonic()
                status, body = await self.handle(request)
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                writer.write(
                    encode(f"HTTP/1.1 {status} .", headers, json.dumps(body).encode())
                )
                await writer.drain()
        self.writers.get(machine, set()).discard(writer)
        writer.close()

    async def handle(self, request):
        method, target, _ = request.first_line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.strip("/").split("/")[2:]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else "")
        if method == "GET":
            return await self.read(kind, name, fields)
        document = json.loads(request.body) if request.body else {}
        return await self.change(method, kind, name, document, fields)

    async def read(self, kind, name, fields):
        if name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if "watch" in fields:
            return 200, await self.watch(
                kind, int(fields["watch"]), int(fields["wait_ms"]) / 1000
            )
        items = [o for (k, n), o in sorted(self.objects.items()) if k == kind]
        items = [o for o in items if o["metadata"]["name"] > fields.get("after", "")]
        return 200, {"items": items, "has_more": False, "store_revision": self.revision}

    async def watch(self, kind, since, wait_s):
        def found():
            return [c for c in self.changes if c[0] > since and c[1] == kind]

        async with self.changed:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait_for(found), wait_s)
        events = [{"object": o, "deleted": deleted} for _, _, o, deleted in found()]
        return {"events": events, "store_revision": self.revision}

    async def change(self, method, kind, name, document, fields):
        metadata = document.get("metadata", {})
        name = name or metadata.get("name", "")
        old = self.objects.get((kind, name))
        expected = metadata.get("revision", fields.get("revision"))
        if method == "POST" and old:
            return 409, old
        if method != "POST" and not old:
            return 404, {}
        if old and expected is not None and int(expected) != old["metadata"]["revision"]:
            return 409, old
        if method == "PUT" and document.get("spec") == old["spec"]:
            return 200, old
        self.revision += 1
        new = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": old["metadata"]["created"] if old else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": document.get("spec", old["spec"] if old else None),
            "status": None,
        }
        if method == "DELETE":
            del self.objects[(kind, name)]
        else:
            self.objects[(kind, name)] = new
        self.changes.append((self.revision, kind, new, method == "DELETE"))
        async with self.changed:
            self.changed.notify_all()
        return 200, new

    async def configure(self, version, routes, services, **limits):
        """Writes a configuration as the operator; the routes are dictionaries."""
        columns = ["name", "host", "path_prefix", "kind", "timeout_ms"]
        columns += ["target_latency_ms", "priority", "max_attempts", "service"]
        rows = [
            [
                route["prefix"].strip("/"),
                HOST,
                route["prefix"],
                route["kind"],
                route.get("timeout_ms", 5000),
                route.get("aim_ms", 1500),
                route.get("priority", 1),
                route.get("attempts", 2),
                route["service"],
            ]
            for route in routes
        ]
        spec = {
            "version": f"{version:08x}",
            "routes": {"columns": columns, "rows": rows},
            "services": {
                "columns": ["name", "health_path", "max_connections"],
                "rows": [[service, "/health", 574] for service in services],
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                **limits,
            },
        }
        method = "PUT" if (KIND_CONFIG, "main") in self.objects else "POST"
        document = {"metadata": {"name": "main"}, "spec": spec}
        name = "main" if method == "PUT" else ""
        await self.change(method, KIND_CONFIG, name, document, {})


class Worker:
    """An application worker: runs requests in its slots, and reports to its node."""

    def __init__(self, record, machine, instance, service, slots=15, work_s=0.03):
        self.record = record
        self.machine = machine
        self.instance = instance
        self.service = service
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.work_s = work_s
        self.body = None  # of the responses; None: the request id
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.writers = set()
        self.tasks = []

    async def start(self, heartbeats=True):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, PORTS["app"], reuse_address=True
        )
        if heartbeats:
            self.tasks.append(asyncio.create_task(self.beat_for_ever()))

    async def end(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.record.write(f"worker {self.instance} ends")

    async def beat_for_ever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def beat_text(self, state=None):
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.machine.ip}:{PORTS['app']}",
                "zone": self.machine.zone,
                "version": "v1",
                "slots": self.slot_count,
                "state": state or self.state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        )

    async def beat(self, text=None):
        text = text or self.beat_text()
        status = await self.tell("PUT", text)
        fields = json.loads(text)
        self.record.write(
            f"worker {self.instance} heartbeat state={fields['state']} "
            f"sequence={fields['sequence']} -> {status}"
        )
        return status

    async def leave(self):
        status = await self.tell("DELETE", "")
        self.record.write(f"worker {self.instance} DELETE -> {status}")
        return status

    async def tell(self, method, text):
        try:
            return (
                await call(
                    (self.machine.ip, PORTS["control"]),
                    f"{method} /fulmarshelf/instances/{self.instance} HTTP/1.1",
                    [("Host", "node"), ("Content-Type", "application/json")],
                    text.encode(),
                    timeout=1.0,
                )
            ).status
        except OSError:
            return 0

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while request := await read_message(reader):
                await self.respond(request, reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def respond(self, request, reader, writer):
        path = request.first_line.split(" ")[1]
        identity = request.get(REQUEST_ID)
        common = [(REQUEST_ID, identity), ("X-Fulmarshelf-Instance-Id", self.instance)]
        load = (LOAD, f"{self.running},0,{self.slot_count}")
        if path == "/health":
            writer.write(encode("HTTP/1.1 200 OK", common[1:] + [load]))
            return
        if request.get(EXPECT, self.instance) != self.instance:
            self.record.write(f"worker {self.instance} 421 {identity} {path}")
            writer.write(
                encode("HTTP/1.1 421 Misdirected", common + [(NOT_EXECUTED, "1")])
            )
            return
        self.record.write(
            f"worker {self.instance} ({self.service}) arrival {identity} {path}"
        )
        async with self.slots:
            self.running += 1
            try:
                self.record.write(
                    f"worker {self.instance} ({self.service}) run {identity} {path}"
                )
                await self.work(reader)
            finally:
                self.running -= 1
        body = self.body or identity.encode()
        stamp = (STAMP, f"{self.instance}.{identity}")
        writer.write(encode("HTTP/1.1 200 OK", common + [stamp, load], body))
        await writer.drain()

    async def work(self, _reader):
        await asyncio.sleep(self.work_s)


class Machine:
    """A machine with a node; its addresses differ from other machines' in the IP."""

    def __init__(self, deployment, number, service, zone):
        self.deployment = deployment
        self.number = number
        self.store_address = deployment.store.address
        self.ip = f"{deployment.network}.{number}"
        self.name = f"sidecar-{zone}-{number}"
        self.service = service
        self.zone = zone
        self.process = None

    def settings(self):
        ip = self.ip
        store = self.store_address
        return {
            "node": self.name,
            "ip": ip,
            "zone": self.zone,
            "region": "region",
            "listen": {
                name: f"{ip}:{PORTS[name]}"
                for name in ("inbound", "outbound", "ready", "control")
            },
            "internal_ports": INTERNAL_PORTS,
            "app_addr": f"{ip}:{PORTS['app']}",
            "service": self.service,
            "bounds": BOUNDS,
            "provider": {"address": f"{store[0]}:{store[1]}"},
        }

    def start(self):
        """Starts the node with the command and the template of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        text = (ROOT / role["template"]).read_text()

        def value(match):
            found = self.settings()
            for part in match[1].split("."):
                found = found[int(part)] if isinstance(found, list) else found[part]
            return str(found)

        path = self.deployment.directory / f"{self.name}.ini"
        path.write_text(re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, text))
        environment = {k: os.environ[k] for k in ("PATH", "LANG") if k in os.environ}
        log = open(self.deployment.directory / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env={**environment, "FULMARSHELF_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()
        self.deployment.processes.append(self.process)
        self.deployment.record.write(f"node {self.name} starts")

    def signal(self, number):
        self.deployment.record.write(
            f"node {self.name} gets {signal.Signals(number).name}"
        )
        os.kill(self.process.pid, number)

    async def ready(self):
        try:
            answer = await call(
                (self.ip, PORTS["ready"]),
                "GET /fulmarshelf/readiness HTTP/1.1",
                [("Host", "node")],
                timeout=1.0,
            )
        except OSError:
            return False
        return answer.status == 200

    async def page(self, path):
        answer = await call(
            (self.ip, PORTS["ready"]), f"GET {path} HTTP/1.1", [("Host", "node")]
        )
        return answer.body.decode()


class Deployment:
    """A store and machines; as a context it ends all processes that it started."""

    def __init__(self, record):
        self.record = record
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="fulmarshelf-review-"))
        self.processes = []
        self.machines = []
        self.network = self.free_network()
        self.store = Store((f"{self.network}.1", 8309))

    @staticmethod
    def free_network():
        for _ in range(50):
            network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            with socket.socket() as probe:
                with contextlib.suppress(OSError):
                    probe.bind((f"{network}.1", 8309))
                    return network
        raise RuntimeError("no free loopback network")

    def add(self, service, zone="zone-a"):
        machine = Machine(self, len(self.machines) + 10, service, zone)
        self.machines.append(machine)
        return machine

    async def wait_ready(self, machines=None, timeout=20.0):
        limit = time.monotonic() + timeout
        for machine in machines or self.machines:
            while not await machine.ready():
                if time.monotonic() > limit:
                    raise TimeoutError(f"node {machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.directory, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


class Answer:
    def __init__(self, status, message):
        self.status = status
        self.headers = message.headers
        self.body = message.body


async def call(address, first_line, headers, body=b"", timeout=5.0):
    """Makes one call on a new connection; raises OSError without an answer."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(encode(first_line, headers, body))
                await writer.drain()
                message = await read_message(reader)
            finally:
                writer.close()
    except (asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        raise OSError(str(error) or "no answer") from error
    if message is None:
        raise OSError("the connection was closed")
    return Answer(int(message.first_line.split(" ")[1]), message)


class Client:
    """Sends requests to the node of its own machine."""

    def __init__(self, record, machine):
        self.record = record
        self.machine = machine
        self.count = 0

    def head(self, method, path, deadline_ms, prefix="q"):
        self.count += 1
        identity = f"{prefix}{self.count:06d}{random.getrandbits(32):08x}"
        headers = [
            ("Host", HOST),
            (REQUEST_ID, identity),
            (DEADLINE, str(deadline_ms)),
        ]
        return identity, f"{method} {path} HTTP/1.1", headers

    async def ask(self, path, method="GET", deadline_ms=5000, body=b"", prefix="q"):
        """Returns the request id and the answer, or None without an answer."""
        identity, first_line, headers = self.head(method, path, deadline_ms, prefix)
        address = (self.machine.ip, PORTS["outbound"])
        self.record.write(f"client sends {identity} {method} {path}")
        try:
            answer = await call(
                address, first_line, headers, body, deadline_ms / 1000 + 0.5
            )
        except OSError as error:
            self.record.write(f"client {identity} no answer: {error}")
            return identity, None
        self.record.write(
            f"client {identity} answer {answer.status} "
            f"stamp={answer.headers.get(STAMP.lower(), 'none')}"
        )
        return identity, answer


class SlowAnswer:
    """How a long answer ended that a client read slowly, and later fast."""

    def __init__(self, complete, received, seconds, ended):
        self.complete = complete
        self.received = received
        self.seconds = seconds
        self.ended = ended


async def read_slowly(client, path, body, deadline_ms, slow_s, bytes_per_s=200_000):
    """Sends a request and reads at a low rate for slow_s seconds, then at once."""
    loop = asyncio.get_running_loop()
    identity, first_line, headers = client.head("GET", path, deadline_ms)
    received, ended, expected = bytearray(), "complete", None
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        connection.setblocking(False)
        await loop.sock_connect(connection, (client.machine.ip, PORTS["outbound"]))
        started = time.monotonic()
        await loop.sock_sendall(connection, encode(first_line, headers))
        client.record.write(f"client sends {identity} (deadline {deadline_ms} ms)")
        while expected is None or len(received) < expected:
            elapsed = time.monotonic() - started
            if elapsed < slow_s and len(received) > bytes_per_s * elapsed:
                await asyncio.sleep(0.05)
                continue
            try:
                part = await asyncio.wait_for(
                    loop.sock_recv(connection, 16384 if elapsed < slow_s else 262144),
                    deadline_ms / 1000 - elapsed,
                )
            except (OSError, asyncio.TimeoutError) as error:
                ended = type(error).__name__
                break
            if not part:
                ended = "closed by the node"
                break
            received += part
            end = received.find(b"\r\n\r\n")
            if expected is None and end >= 0:
                head = received[:end].decode().lower()
                length = head.split("content-length:")[1].split("\r\n")[0]
                expected = end + 4 + int(length)
    elapsed = time.monotonic() - started
    client.record.write(
        f"client {identity} got {len(received)} of {expected} bytes after "
        f"{elapsed:.2f} s: {ended}"
    )
    complete = ended == "complete" and received[-len(body) :] == body
    return SlowAnswer(complete, len(received), elapsed, ended)


class KeptConnection:
    """A client's connection, which it keeps for several requests."""

    def __init__(self, client):
        self.client = client
        self.record = client.record

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.client.machine.ip, PORTS["outbound"]
        )
        return self

    async def ask(self, path, method="GET", deadline_ms=5000, body=b"", more_headers=()):
        """Returns the status, or 0 when the connection ended without an answer."""
        identity, first_line, headers = self.client.head(method, path, deadline_ms)
        self.record.write(f"client sends {identity} {method} {path}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                self.writer.write(encode(first_line, headers + list(more_headers), body))
                answer = await read_message(self.reader)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write(f"client {identity} no answer: {error!r}")
            return 0
        if answer is None:
            self.record.write(f"client {identity} no answer: the connection was closed")
            return 0
        status = int(answer.first_line.split(" ")[1])
        self.record.write(f"client {identity} answer {status}")
        return status


async def requests_in_progress(client, count, path, method="POST"):
    """Starts requests on kept connections, each after an earlier request."""
    connections = [await KeptConnection(client).open() for _ in range(count)]
    for connection in connections:
        await connection.ask("/look/1")
    return [
        asyncio.create_task(connection.ask(path, method, body=b"x" * 300))
        for connection in connections
    ]


def run(case, directory, limit_s=110):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, else 2."""

    async def bounded():
        record = Record(pathlib.Path(directory) / "record.txt")
        try:
            async with asyncio.timeout(limit_s):
                async with Deployment(record) as deployment:
                    faults = await case(deployment, record)
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        for fault in faults:
            record.write(f"RULE BROKEN: {fault}")
            print(f"broken: {fault}")
        if not faults:
            record.write("the rule held")
            print("held")
        return 1 if faults else 0

    code = asyncio.run(bounded())
    sys.stdout.flush()
    # The streams of connections that are still open complain at a normal exit.
    os._exit(code)
