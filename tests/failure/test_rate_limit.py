"""Backend servers that name a rate limit: all nodes together keep to it, and the
requests above it run at other backend servers."""

import itertools
import signal
import threading
import time

from harness import run_tests, wait_until
from route_mesh import RouteMesh

WINDOW_MS = 4000
BURST_REQUESTS = 5
ALLOWED_FACTOR = 1.5
STABLE_WINDOW_SECONDS = 3.0


class Load:
    """Sends requests at a steady rate to several entries, from one thread each."""

    def __init__(self, mesh, entries, target, rate, prefix):
        self.codes = []
        self.threads = []
        self.stopped = threading.Event()
        for index in range(rate // 10):
            entry = entries[index % len(entries)]
            thread = threading.Thread(
                target=self._send, args=(mesh, entry, target, f"{prefix}-{index}")
            )
            self.threads.append(thread)

    def _send(self, mesh, entry, target, prefix):
        due = time.monotonic()
        for number in itertools.count():
            due += 0.1
            if self.stopped.wait(max(0, due - time.monotonic())):
                return
            self.codes.append(mesh.ask(entry, target, f"{prefix}-{number}", "POST")[0])

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def served_share(self):
        return self.codes.count(200) / max(1, len(self.codes))


def busiest_window(worker, since_ms):
    """Most requests that the backend server received in any window of the rule."""
    times = [at for at in worker.arrivals() if at >= since_ms]
    return max(
        (sum(1 for at in times if start <= at < start + WINDOW_MS) for start in times),
        default=0,
    )


def allowed(rate):
    return ALLOWED_FACTOR * rate * WINDOW_MS / 1000 + BURST_REQUESTS


def wait_for_limit(worker, rate):
    wait_until(
        lambda: worker.metrics().get("fulmarshelf_backend_rate_limit") == rate,
        f"{worker.name} knows the limit",
    )


def limited_server_gets_no_more_than_it_accepts(checker, directory):
    """One of two servers names a tenth of what it gets."""
    rate = 5
    with RouteMesh(directory, 21800).start() as mesh:
        limited = mesh.of("deep")[0]
        with Load(mesh, mesh.workers, "/book/1", 80, "limit") as load:
            time.sleep(1.0)
            limited.admin(f"rate-limit={rate}")
            wait_for_limit(limited, rate)
            since = time.time() * 1000 + STABLE_WINDOW_SECONDS * 1000
            time.sleep(STABLE_WINDOW_SECONDS + 2 * WINDOW_MS / 1000)
        most = busiest_window(limited, since)
        checker.require(
            most <= allowed(rate), f"{most} requests in 4 s, {allowed(rate)} allowed"
        )
        checker.require(most >= 2 * rate, f"only {most} requests in 4 s: capacity unused")
        checker.require(
            load.served_share() >= 0.98,
            f"{load.served_share():.3f} served, though the other server has capacity",
        )


def limit_holds_while_the_node_beside_the_server_restarts(checker, directory):
    """The node has forgotten the limit when it starts again; the entries that know
    it are not excused."""
    rate = 1
    with RouteMesh(directory, 22000, run_ms=100).start() as mesh:
        limited, others = mesh.of("deep")[0], mesh.of("front")
        limited.admin(f"rate-limit={rate}")
        with Load(mesh, others, "/book/1", 40, "restart") as load:
            wait_for_limit(limited, rate)
            since = time.time() * 1000 + STABLE_WINDOW_SECONDS * 1000
            time.sleep(STABLE_WINDOW_SECONDS + 1)
            limited.stop_node(signal.SIGTERM)
            limited.node_process.wait()
            limited.start_node()
            wait_until(
                lambda: (limited.status() or {}).get("phase") == "serving"
                and limited.status()["backend"],
                "the node serves again",
            )
            time.sleep(WINDOW_MS / 1000)
        most = busiest_window(limited, since)
        checker.require(
            most <= allowed(rate), f"{most} requests in 4 s, {allowed(rate)} allowed"
        )
        checker.require(load.served_share() >= 0.95, f"{load.served_share():.3f} served")


def removed_limit_ends(checker, directory):
    """A server that no longer names a limit gets its part again."""
    with RouteMesh(directory, 22200).start() as mesh:
        limited = mesh.of("deep")[0]
        limited.admin("rate-limit=2")
        with Load(mesh, mesh.workers, "/book/1", 80, "removed"):
            wait_for_limit(limited, 2)
            limited.admin("rate-limit=")
            wait_for_limit(limited, -1)
            since = time.time() * 1000
            time.sleep(WINDOW_MS / 1000)
        most = busiest_window(limited, since)
        checker.require(most >= 60, f"only {most} requests in 4 s after the limit ended")


if __name__ == "__main__":
    run_tests(
        [
            limited_server_gets_no_more_than_it_accepts,
            limit_holds_while_the_node_beside_the_server_restarts,
            removed_limit_ends,
        ]
    )
