"""Backend servers that leave around a restart of the node beside them, with a
heartbeat that arrives late."""

import json
import signal
import threading
import time

from harness import http, run_tests, wait_until
from route_mesh import RouteMesh

DRAIN_SECONDS = 2.0
STABLE_WINDOW_SECONDS = 3.0
FINAL_SECONDS = 2.0


class Leaving:
    """A backend server whose notices the test sends in its place."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.worker = mesh.of("deep")[0]
        self.instance = f"{self.worker.name}-first"
        self.worker.admin("mute=1")
        time.sleep(0.6)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beat(self.text())

    def text(self, state="ready"):
        self.sequence += 1
        return json.dumps(
            {
                "service": "deep",
                "address": self.worker.backend,
                "zone": "z",
                "version": "v",
                "slots": 8,
                "state": state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        )

    def tell(self, method, body=None):
        path = f"/fulmarshelf/instances/{self.instance}"
        return http(method, self.worker.backend_side, path, body)[0]

    def beat(self, text):
        return self.tell("PUT", text)

    def restart_node(self, how):
        self.restart_nodes([self.worker], how)

    def restart_all(self, how):
        self.restart_nodes(self.mesh.workers, how)

    @staticmethod
    def restart_nodes(workers, how):
        """Stops all these nodes before the first of them starts again."""
        for worker in workers:
            worker.stop_node(how)
        for worker in workers:
            worker.node_process.wait(timeout=30)
        for worker in workers:
            worker.start_node()
        for worker in workers:
            wait_until(
                lambda worker=worker: (worker.status() or {}).get("phase") == "serving",
                f"the restarted node {worker.name} serves",
            )


def check_gets_nothing(checker, leaving):
    """No request reaches the server once its departure binds all nodes."""
    mesh = leaving.mesh
    entries = [worker for worker in mesh.workers if worker is not leaving.worker]
    stop = threading.Event()

    def load(entry, number):
        count = 0
        while not stop.is_set():
            mesh.ask(entry, "/book/1", f"load-{number}-{count}", "POST")
            count += 1

    threads = [threading.Thread(target=load, args=(e, n)) for n, e in enumerate(entries)]
    for thread in threads:
        thread.start()
    time.sleep(max(DRAIN_SECONDS, STABLE_WINDOW_SECONDS))
    before = len(leaving.worker.arrivals())
    time.sleep(FINAL_SECONDS)
    after = len(leaving.worker.arrivals()) - before
    stop.set()
    for thread in threads:
        thread.join()
    checker.require(after == 0, f"{after} requests reached the server that left")


def departure_behind_a_restart(checker, directory):
    """The restarted node has never heard of the server that leaves."""
    with RouteMesh(directory, 23200).start() as mesh:
        leaving = Leaving(mesh)
        late = leaving.text()
        leaving.restart_node(signal.SIGTERM)
        checker.require(leaving.tell("DELETE") == 200, "the departure was not taken")
        checker.require(leaving.beat(late) == 200, "the heartbeat was not taken")
        check_gets_nothing(checker, leaving)


def restart_behind_a_departure(checker, directory):
    """The process that acknowledged the departure is killed."""
    for port, how in ((23400, signal.SIGTERM), (23600, signal.SIGKILL)):
        with RouteMesh(f"{directory}", port).start() as mesh:
            leaving = Leaving(mesh)
            late = leaving.text()
            checker.require(leaving.tell("DELETE") == 200, "the departure was not taken")
            leaving.restart_node(how)
            leaving.beat(late)
            check_gets_nothing(checker, leaving)


def restart_behind_draining(checker, directory):
    """The process that acknowledged the draining is killed."""
    with RouteMesh(directory, 23800).start() as mesh:
        leaving = Leaving(mesh)
        late = leaving.text()
        checker.require(leaving.beat(leaving.text("draining")) == 200, "not taken")
        leaving.restart_node(signal.SIGKILL)
        leaving.beat(late)
        check_gets_nothing(checker, leaving)


def stop_of_all_nodes_behind_a_departure(checker, directory):
    """No process is left that remembers the acknowledgement."""
    for port, how in ((10000, signal.SIGKILL), (10200, signal.SIGTERM)):
        with RouteMesh(directory, port).start() as mesh:
            leaving = Leaving(mesh)
            late = [leaving.text(), leaving.text()]
            checker.require(leaving.tell("DELETE") == 200, "the departure was not taken")
            leaving.restart_all(how)
            for text in late:
                leaving.beat(text)
            check_gets_nothing(checker, leaving)


def kill_of_all_nodes_behind_draining(checker, directory):
    """The same for a server that only drains."""
    with RouteMesh(directory, 10400).start() as mesh:
        leaving = Leaving(mesh)
        late = leaving.text()
        checker.require(leaving.beat(leaving.text("draining")) == 200, "not taken")
        leaving.restart_all(signal.SIGKILL)
        leaving.beat(late)
        check_gets_nothing(checker, leaving)


def departure_that_cannot_be_recorded(checker, directory):
    """Without the store the server gets no work, and no acknowledgement that a
    kill of all nodes would break."""
    with RouteMesh(directory, 10600).start() as mesh:
        leaving = Leaving(mesh)
        http("GET", mesh.platform, "/admin?down=1")
        checker.require(leaving.tell("DELETE") == 503, "a departure that is not kept was taken")
        check_gets_nothing(checker, leaving)
        http("GET", mesh.platform, "/admin?down=0")
        wait_until(lambda: leaving.tell("DELETE") == 200, "the departure is taken")


def server_returns_under_its_id(checker, directory):
    with RouteMesh(directory, 24000).start() as mesh:
        leaving = Leaving(mesh)
        for restart in (leaving.restart_node, leaving.restart_all):
            leaving.tell("DELETE")
            restart(signal.SIGKILL)
            leaving.born = int(time.time() * 1000)
            leaving.beat(leaving.text())
            before = len(leaving.worker.arrivals())

            def gets_requests(before=before):
                mesh.ask(mesh.of("front")[0], "/book/1", f"next-{time.monotonic()}", "POST")
                return len(leaving.worker.arrivals()) > before

            wait_until(gets_requests, "the server gets requests again", timeout=5.0)


if __name__ == "__main__":
    run_tests(
        [
            departure_behind_a_restart,
            restart_behind_a_departure,
            restart_behind_draining,
            stop_of_all_nodes_behind_a_departure,
            kill_of_all_nodes_behind_draining,
            departure_that_cannot_be_recorded,
            server_returns_under_its_id,
        ]
    )
