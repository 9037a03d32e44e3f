"""Backend servers that say in their responses that they leave, before or without
an announcement that they are draining."""

import time

from harness import run_tests, wait_until
from route_mesh import RouteMesh

DRAIN_SECONDS = 2.0


def send(mesh, prefix, seconds):
    """Sends to the service of the first server through every node."""
    codes = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for worker in mesh.workers:
            name = f"{prefix}-{len(codes)}"
            codes.append(mesh.ask(worker, "/book/1", name, "POST")[0])
    return codes


def leaving_server_gets_no_new_requests(checker, directory):
    with RouteMesh(directory, 22400).start() as mesh:
        leaving = mesh.of("deep")[0]
        leaving.admin("leaving=1")
        codes = send(mesh, "first", 0.5)
        checker.require(len(leaving.arrivals()) > 0, "the leaving server got no request")
        codes += send(mesh, "draining", DRAIN_SECONDS)
        before = len(leaving.arrivals())
        codes += send(mesh, "left", 1.5)
        after = len(leaving.arrivals()) - before
        checker.require(after == 0, f"{after} requests reached the server that left")
        failed = [code for code in codes if code != 200]
        checker.require(not failed, f"{len(failed)} of {len(codes)} requests failed")


def next_incarnation_is_used(checker, directory):
    """The server behind the address is replaced, and the new one does not leave."""
    with RouteMesh(directory, 22600).start() as mesh:
        leaving = mesh.of("deep")[0]
        leaving.admin("leaving=1")
        send(mesh, "first", 0.5)
        leaving.admin("leaving=0&restart-as=second")
        wait_until(
            lambda: (leaving.status() or {}).get("backend", {}).get("instance") == "second",
            "the node knows the new instance",
        )
        before = len(leaving.arrivals())
        wait_until(
            lambda: send(mesh, f"next-{time.monotonic()}", 0.2)
            and len(leaving.arrivals()) > before,
            "the new instance gets requests",
        )


if __name__ == "__main__":
    run_tests([leaving_server_gets_no_new_requests, next_incarnation_is_used])
