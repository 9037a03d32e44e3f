"""Requests with long heads, within the limit that the operator has set."""

import pathlib
import random
import socket
import sys

from harness import run_tests, wait_until
from route_mesh import HOST, RouteMesh

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "platform"))
from platform_config import request_headers  # noqa: E402

MAX_HEADER_BYTES = 131072
# Around the limits of the libraries that carry heads, and up to the operator's.
SIZES = (200, 60_000, 65_400, 65_533, 65_534, 65_535, 65_536, 70_000, 130_000)


def status_of(worker, target, fields, body=b"", trailer=b""):
    """Sends one request; returns the status of its answer, 0 when there is none."""
    host, port = worker.callers.rsplit(":", 1)
    method = b"POST" if body or trailer else b"GET"
    head = method + b" " + target + b" HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\n"
    for name, value in request_headers(f"{random.getrandbits(64):016x}", 4000).items():
        head += f"{name}: {value}\r\n".encode()
    for name, value in fields:
        head += name + b": " + value + b"\r\n"
    if trailer:
        head += b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + trailer + b"\r\n"
    head += b"\r\n"
    with socket.create_connection((host, int(port)), timeout=8) as connection:
        try:
            connection.sendall(head + body)
            answer = connection.recv(65536)
        except OSError:
            return 0
    return int(answer.split(b" ")[1]) if answer.startswith(b"HTTP/1.1 ") else 0


def shapes(prefix, size):
    """Requests whose heads have about this size, in several forms."""
    many = [(b"X-%d" % number, b"v" * 985) for number in range(size // 1000)]
    yield "one field", prefix, [(b"X-Long", b"v" * size)], b""
    yield "many fields", prefix, many, b""
    yield "target", prefix + b"?" + b"q" * size, [], b""
    yield "trailer", prefix, [], b"X-Long: " + b"v" * size + b"\r\n"


def long_heads_are_served(checker, directory):
    """A long head is served at the entry's own backend server and at the one of
    another node, and ends no node."""
    with RouteMesh(directory, 22800).start() as mesh:
        routes = [
            {"prefix": "/look/", "service": "front", "safe": True},
            {"prefix": "/book/", "service": "deep", "safe": False},
        ]
        version = mesh.write_routes(routes, max_header=MAX_HEADER_BYTES)
        wait_until(lambda: set(mesh.routes_in_force()) == {version}, "the limit is in force")
        entry = mesh.of("front")[0]
        for size in SIZES:
            for prefix in (b"/look/1", b"/book/1"):
                for name, target, fields, trailer in shapes(prefix, size):
                    status = status_of(entry, target, fields, trailer=trailer)
                    checker.require(
                        status == 200, f"{name}, {size} bytes, {prefix}: status {status}"
                    )
        ended = [w.name for w in mesh.workers if w.node_process.poll() is not None]
        checker.require(not ended, f"nodes ended: {ended}")


def longer_heads_are_refused(checker, directory):
    """A head above the operator's limit gets 431; no backend server sees it."""
    with RouteMesh(directory, 23000).start() as mesh:
        entry = mesh.of("front")[0]
        for size in (20_000, 70_000, 1_100_000):
            for name, target, fields, trailer in shapes(b"/book/1", size):
                if trailer:
                    continue
                status = status_of(entry, target, fields)
                checker.require(status in (0, 431), f"{name}, {size}: status {status}")
        runs = sum(sum(worker.runs().values()) for worker in mesh.workers)
        checker.require(runs == 0, f"{runs} requests ran")


if __name__ == "__main__":
    run_tests([long_heads_are_served, longer_heads_are_refused])
