"""Callers that send requests behind one another, large bodies, and backend servers
that send bytes without end, against nodes with a route table."""

import pathlib
import re
import socket
import threading
import time

from harness import run_tests, wait_until
from route_mesh import HOST, RouteMesh, request_headers

KILOBYTE = 1024
# A route table in the test allows bodies up to this size.
MAX_BODY = 400 * KILOBYTE
# The smallest VMs have 160 MB for a node.
MEMORY_LIMIT_KB = 160 * KILOBYTE
ROUTES = [
    {"prefix": "/slow/", "service": "deep", "safe": True},
    {"prefix": "/fast/", "service": "front", "safe": True},
    {"prefix": "/book/", "service": "front", "safe": False},
    {"prefix": "/upload/", "service": "front", "kind": "upload"},
]


class PipelineMesh(RouteMesh):
    def apply_settings(self):
        self.write_routes(ROUTES, max_body=MAX_BODY)


def start(directory, port, **options):
    return PipelineMesh(directory, port, **options).start()


def head(method, target, name, fields=()):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{key}: {value}" for key, value in request_headers(name, 3000).items()]
    return "\r\n".join([*lines, *fields, "", ""]).encode()


def connect(worker):
    address, port = worker.callers.rsplit(":", 1)
    return socket.create_connection((address, int(port)), timeout=10)


class Reader:
    """Reads responses from one connection, in order."""

    def __init__(self, link):
        self.file = link.makefile("rb")

    def next(self):
        """Returns (status, fields, body), or None when the connection has ended."""
        try:
            status_line = self.file.readline()
        except OSError:
            return None
        if not status_line:
            return None
        fields = {}
        while (line := self.file.readline()) not in (b"\r\n", b""):
            key, _, value = line.decode().partition(":")
            fields[key.lower()] = value.strip()
        body = self.file.read(int(fields.get("content-length", 0)))
        return int(status_line.split()[1]), fields, body

    def all(self):
        responses = []
        while (response := self.next()) is not None:
            responses.append(response)
        return responses


def id_of(response):
    return response[1].get("x-fulmarshelf-request-id")


def runs_of(mesh):
    total = {}
    for worker in mesh.workers:
        for key, count in worker.runs().items():
            total[key] = total.get(key, 0) + count
    return total


def requests_run_side_by_side_and_are_answered_in_order(checker, directory):
    with start(directory, 16200, run_ms=400) as mesh:
        for worker in mesh.of("front"):
            worker.admin("run-ms=20")
        entry = mesh.of("front")[0]
        with connect(entry) as link:
            began = time.monotonic()
            link.sendall(
                b"".join(head("GET", "/slow/1", f"slow-{n}") for n in range(4))
                + b"".join(head("GET", "/fast/1", f"fast-{n}") for n in range(4))
            )
            reader = Reader(link)
            responses = [reader.next() for _ in range(8)]
            elapsed = time.monotonic() - began
        expected = [f"slow-{n}" for n in range(4)] + [f"fast-{n}" for n in range(4)]
        checker.require(
            [id_of(r) for r in responses] == expected,
            f"order of the responses: {[id_of(r) for r in responses]}",
        )
        checker.require(
            all(r[0] == 200 for r in responses),
            f"statuses {[r[0] for r in responses]}",
        )
        checker.require(elapsed < 1.2, f"four runs of 0.4 s took {elapsed:.2f} s")
        held = entry.metrics()["fulmarshelf_held_responses_total"]
        checker.require(held >= 4, f"{held} responses were counted as held")


def request_that_must_not_repeat_runs_alone(checker, directory):
    with start(directory, 16400, run_ms=200) as mesh:
        entry = mesh.of("front")[0]
        front = mesh.of("front")
        with connect(entry) as link:
            link.sendall(
                head("GET", "/fast/1", "first")
                + head("POST", "/book/1", "booking", ["Content-Length: 0"])
                + head("GET", "/fast/1", "last")
            )
            most = 0
            reader = Reader(link)
            done = []
            thread = threading.Thread(
                target=lambda: done.extend(reader.next() for _ in range(3))
            )
            thread.start()
            while thread.is_alive():
                most = max(most, sum(w.backend_status()["running"] for w in front))
                time.sleep(0.01)
        checker.require(most <= 1, f"{most} requests ran at the same time")
        checker.require(
            [id_of(r) for r in done] == ["first", "booking", "last"],
            f"order of the responses: {[id_of(r) for r in done]}",
        )


def requests_behind_the_last_answer_do_not_run(checker, directory):
    """A node that is asked to stop answers what it has passed on. What is behind
    the response that closes the connection has not run: its caller repeats it."""
    with start(directory, 16600, run_ms=600) as mesh:
        entry = mesh.of("front")[0]
        with connect(entry) as link:
            link.sendall(
                head("GET", "/fast/1", "passed-0")
                + head("GET", "/fast/1", "passed-1")
                + head("POST", "/book/1", "behind", ["Content-Length: 0"])
            )
            wait_until(
                lambda: sum(w.backend_status()["running"] for w in mesh.of("front")) == 2,
                "two requests run",
            )
            entry.stop_node()
            responses = Reader(link).all()
        checker.require(
            [(r[0], id_of(r)) for r in responses] == [(200, "passed-0"), (200, "passed-1")],
            f"responses {[(r[0], id_of(r)) for r in responses]}",
        )
        checker.require(
            [r[1].get("connection") for r in responses] == [None, "close"],
            "only the last response must announce the end of the connection",
        )
        checker.require("behind" not in runs_of(mesh), "a request behind the end ran")


def departed_caller_cancels_all_its_requests(checker, directory):
    with start(directory, 16800, run_ms=5000) as mesh:
        entry = mesh.of("front")[0]
        running = lambda: sum(w.backend_status()["running"] for w in mesh.of("front"))  # noqa: E731
        with connect(entry) as link:
            link.sendall(b"".join(head("GET", "/fast/1", f"gone-{n}") for n in range(5)))
            wait_until(lambda: running() == 5, "five requests run")
        began = time.monotonic()
        wait_until(lambda: running() == 0, "all requests are cancelled")
        elapsed = time.monotonic() - began
        checker.require(elapsed < 0.5, f"the requests were cancelled after {elapsed:.2f} s")


def more_requests_than_the_limit_wait_unread(checker, directory):
    """Bytes beyond the limits stay in the kernel; no request is lost."""
    with start(directory, 18800, run_ms=30, slots=40) as mesh:
        entry = mesh.of("front")[0]
        count = 600
        with connect(entry) as link:
            sender = threading.Thread(
                target=link.sendall,
                args=(b"".join(head("GET", "/fast/1", f"many-{n}") for n in range(count)),),
            )
            sender.start()
            reader = Reader(link)
            responses = [reader.next() for _ in range(count)]
            sender.join()
        checker.require(
            [id_of(r) for r in responses] == [f"many-{n}" for n in range(count)],
            "the responses are not in the order of the requests",
        )
        late = [r[0] for r in responses if r[0] not in (200, 503, 504)]
        checker.require(not late, f"unexpected statuses {late[:5]}")


def peak_memory_kb(worker):
    status = pathlib.Path(f"/proc/{worker.node_process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status)[1])


def uploads_keep_memory_bounded(checker, directory):
    """Ten times the ordinary load: 400 callers send 300 KB each at the same time
    to one entry. Each one is served or told that its request did not run."""
    with start(directory, 21200, run_ms=300, slots=30) as mesh:
        entry = mesh.of("front")[0]
        body = b"x" * (300 * KILOBYTE)
        answers = {}

        def upload(number):
            name = f"upload-{number}"
            try:
                with connect(entry) as link:
                    link.sendall(
                        head("POST", "/upload/1", name, [f"Content-Length: {len(body)}"])
                    )
                    try:
                        link.sendall(body)
                    except OSError:
                        pass  # refused after the head
                    answers[name] = Reader(link).next()
            except OSError as error:
                answers[name] = (0, {}, str(error).encode())

        threads = [threading.Thread(target=upload, args=(n,)) for n in range(400)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        runs = runs_of(mesh)
        for name, answer in answers.items():
            status = answer[0] if answer else 0
            count = runs.get(name, 0)
            checker.require(count <= 1, f"{name} ran {count} times")
            checker.require(
                status in (200, 502, 503, 504), f"{name} was answered {status}"
            )
            if status == 503:
                checker.require(count == 0, f"{name}: 503 but it ran")
            if status == 200:
                checker.require(count == 1, f"{name}: 200 but it did not run")
        served = sum(1 for a in answers.values() if a and a[0] == 200)
        checker.require(served >= 30, f"{served} of 400 uploads were served")
        for worker in mesh.workers:
            peak = peak_memory_kb(worker)
            checker.require(
                peak < MEMORY_LIMIT_KB, f"{worker.name} used {peak} KB at its peak"
            )


def incomplete_uploads_do_not_run(checker, directory):
    """Bodies that stall, are shorter than stated, or have broken chunks."""
    with start(directory, 21400) as mesh:
        entry = mesh.of("front")[0]
        with connect(entry) as link:
            link.sendall(head("POST", "/upload/1", "short", ["Content-Length: 1000"]) + b"x" * 10)
            link.shutdown(socket.SHUT_WR)
            Reader(link).all()
        with connect(entry) as link:
            link.sendall(
                head("POST", "/upload/1", "chunks", ["Transfer-Encoding: chunked"])
                + b"4\r\nabcd\r\nzz\r\n"
            )
            response = Reader(link).next()
            checker.require(
                response is not None and response[0] == 400,
                f"broken chunks were answered {response}",
            )
        with connect(entry) as link:
            link.sendall(head("POST", "/upload/1", "stalled", ["Content-Length: 1000"]) + b"x")
            began = time.monotonic()
            response = Reader(link).next()
            elapsed = time.monotonic() - began
            checker.require(
                response is None or response[0] in (400, 408, 503),
                f"the stalled upload was answered {response}",
            )
            checker.require(elapsed < 8, f"the stalled upload was held for {elapsed:.1f} s")
        with connect(entry) as link:
            link.sendall(
                head("POST", "/upload/1", "longer", ["Content-Length: 4"]) + b"abcdGARBAGE\r\n\r\n"
            )
            statuses = [r[0] for r in Reader(link).all()]
            checker.require(statuses == [200, 400], f"statuses {statuses}")
        runs = runs_of(mesh)
        for name in ("short", "chunks", "stalled"):
            checker.require(name not in runs, f"the incomplete upload '{name}' ran")
        checker.require(runs.get("longer") == 1, "the complete upload did not run once")


class EndlessServer:
    """Takes the address of a backend server and answers each request with a start
    and then the same bytes until the peer closes."""

    def __init__(self, address, beginning, repeated):
        host, port = address.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)))
        self.beginning, self.repeated = beginning, repeated
        self.sent, self.ends = 0, 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                link, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(link,), daemon=True).start()

    def serve(self, link):
        with link:
            if not link.recv(65536):
                return
            try:
                link.sendall(self.beginning)
                while True:
                    self.sent += link.send(self.repeated)
            except OSError:
                self.ends += 1

    def close(self):
        self.listener.shutdown(socket.SHUT_RDWR)  # ends the waiting accept
        self.listener.close()


ENDLESS = {
    "nonsense": (b"x" * 100, b"x" * 65536),
    "head": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 4096),
    "field": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 65536),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"4\r\nabcd\r\n" * 4096,
    ),
    "extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=",
        b"x" * 65536,
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"A: b\r\n" * 4096,
    ),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
}


def answers_without_end_are_cut(checker, directory):
    """A backend server in trouble sends bytes until its peer closes. The owner
    closes at a bounded size and time, and each caller gets a final answer."""
    with start(directory, 21600) as mesh:
        entry = mesh.of("front")[0]
        for worker in mesh.of("deep"):
            worker.backend_process.kill()
            worker.backend_process.wait()
        for name, (beginning, repeated) in ENDLESS.items():
            servers = [EndlessServer(w.backend, beginning, repeated) for w in mesh.of("deep")]
            answers = []

            def ask(number, name=name, answers=answers):
                answers.append(
                    mesh.ask(entry, "/slow/1", f"{name}-{number}", left_ms=2000)[0]
                )

            began = time.monotonic()
            threads = [threading.Thread(target=ask, args=(n,)) for n in range(20)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            elapsed = time.monotonic() - began
            for server in servers:
                server.close()
            checker.require(
                all(status in (502, 503, 504) for status in answers),
                f"{name}: statuses {sorted(set(answers))}",
            )
            checker.require(elapsed < 4, f"{name}: the answers took {elapsed:.1f} s")
            # The owner has no lasting reason against its backend server.
            time.sleep(0.3)
        for worker in mesh.workers:
            peak = peak_memory_kb(worker)
            checker.require(
                peak < MEMORY_LIMIT_KB, f"{worker.name} used {peak} KB at its peak"
            )
        checker.require(
            mesh.ask(entry, "/fast/1", "after")[0] == 200, "other services still work"
        )


if __name__ == "__main__":
    run_tests(
        [
            requests_run_side_by_side_and_are_answered_in_order,
            request_that_must_not_repeat_runs_alone,
            requests_behind_the_last_answer_do_not_run,
            departed_caller_cancels_all_its_requests,
            more_requests_than_the_limit_wait_unread,
            uploads_keep_memory_bounded,
            incomplete_uploads_do_not_run,
            answers_without_end_are_cut,
        ]
    )
