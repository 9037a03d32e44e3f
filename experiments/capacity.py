"""Measures the control overhead of a node at several mesh sizes, with real node
processes on loopback, and fits straight lines to the results.

    capacity.py slopes --counts 6,12,24,48,96 --out docs/measurements
    capacity.py calls  --out docs/measurements"""

import argparse
import json
import os
import pathlib
import signal
import statistics
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))
from mesh import Mesh, stream_of, wait_until  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
IDLE_SECONDS = 20
CHANGES = 5


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_kb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def sample(mesh):
    rows = []
    for worker in mesh.workers:
        metrics = worker.metrics()
        rows.append(
            {
                "cpu": cpu_seconds(worker.node_process.pid),
                "sent": metrics["fulmarshelf_datagram_bytes_sent_total"],
                "received": metrics["fulmarshelf_datagram_bytes_received_total"],
                "datagrams": metrics["fulmarshelf_datagrams_sent_total"],
                "peer": metrics["fulmarshelf_peer_control_bytes_total"],
                "platform": metrics["fulmarshelf_platform_calls_total"],
            }
        )
    return rows


def idle_cost(mesh):
    before, store_before = sample(mesh), mesh.platform_admin()
    start = time.monotonic()
    time.sleep(IDLE_SECONDS)
    after, store_after = sample(mesh), mesh.platform_admin()
    seconds = time.monotonic() - start

    def mean(key):
        return statistics.mean(
            (b[key] - a[key]) / seconds for a, b in zip(before, after)
        )

    return {
        "cpu_percent": 100 * mean("cpu"),
        "bytes_per_s": mean("sent") + mean("received") + mean("peer"),
        "datagrams_per_s": mean("datagrams"),
        "rss_mb": max(resident_kb(w.node_process.pid) for w in mesh.workers) / 1024,
        "standing_watches": store_after["standing_watches"],
        "store_reads_per_s": (store_after["reads"] - store_before["reads"]) / seconds,
        "store_watches_per_s": (store_after["watches"] - store_before["watches"])
        / seconds,
    }


def versions(mesh):
    found = []
    for worker in mesh.workers:
        status = worker.status() or {"settings": []}
        found.append(max([s["version"] for s in status["settings"]] or [0]))
    return found


def logged_times(mesh, text):
    """Seconds since the epoch at which each node last logged a line with the text."""
    from datetime import datetime, timezone

    times = {}
    for worker in mesh.workers:
        for line in worker.log_path().read_text().splitlines():
            if text in line:
                stamp = datetime.strptime(line.split("Z", 1)[0], "%Y-%m-%dT%H:%M:%S.%f")
                times[worker.name] = stamp.replace(tzinfo=timezone.utc).timestamp()
    return times


def propagation_times(mesh, directory):
    """Seconds from the start of each settings write until the last node applies it."""
    slowest = []
    for number in range(CHANGES):
        path = pathlib.Path(directory) / f"change-{number}.ini"
        path.write_text(
            "[team]\nservices = roomfront, bookdesk, songbook, slotboard\n"
            f"[defaults]\npatience-ms = {1000 + number}\n"
        )
        begin = time.time()  # before the write, so this is an upper bound
        code, out, err = mesh.cli("settings", "apply", "/kwan", path)
        if code != 0:
            raise RuntimeError(err)
        version = int(out.split("version ")[1].split()[0])
        wait_until(
            lambda: min(versions(mesh)) >= version, f"version {version} in force", 30
        )
        time.sleep(0.3)  # logs are flushed every 200 ms
        times = logged_times(mesh, f"settings-applied path=/kwan version={version} ")
        slowest.append(max(times.values()) - begin)
    return slowest


def detection(mesh, sig, store_down):
    """Seconds until the first and last node declare a killed or paused node dead."""
    if store_down:
        mesh.platform_admin("down=1")
    victim = mesh.workers.pop()
    start = time.time()
    victim.stop_node(sig)
    text = f"member-dead node={victim.name} "
    wait_until(
        lambda: time.sleep(0.5) or len(logged_times(mesh, text)) == len(mesh.workers),
        f"{victim.name} declared dead by all other nodes",
        60,
    )
    times = logged_times(mesh, text)
    victim.stop_node(signal.SIGKILL)
    if store_down:
        mesh.platform_admin("down=0")
    return {"first": min(times.values()) - start, "last": max(times.values()) - start}


def false_suspicions(mesh):
    return sum(
        worker.log_path().read_text().count("member-suspect")
        for worker in mesh.workers
    )


def measure_count(count, port, settle):
    shares = {s: count // 4 for s in ("roomfront", "bookdesk", "songbook", "slotboard")}
    for index in range(count % 4):
        shares[list(shares)[index]] += 1
    with tempfile.TemporaryDirectory(prefix="fulmarshelf-") as directory:
        with Mesh(
            "kwan",
            directory,
            workers=shares,
            base_port=port,
            log_level="changes",
            domains=min(8, count // 3),
            regions=2,
            backends=False,
        ) as mesh:
            begin = time.monotonic()
            mesh.start()
            started = time.monotonic() - begin
            time.sleep(settle)
            row = {"nodes": count, "start_s": started, **idle_cost(mesh)}
            row["suspicions"] = false_suspicions(mesh)
            row["in_force_s"] = propagation_times(mesh, directory)
            row["killed"] = detection(mesh, signal.SIGKILL, False)
            row["frozen_store_down"] = detection(mesh, signal.SIGSTOP, True)
            return row


def fit(xs, ys):
    """Fits a least squares line; returns its intercept, slope, largest error and the
    value at 590 nodes."""
    mean_x, mean_y = statistics.mean(xs), statistics.mean(ys)
    spread = sum((x - mean_x) ** 2 for x in xs) or 1
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
    base = mean_y - slope * mean_x
    error = max(abs(base + slope * x - y) for x, y in zip(xs, ys))
    return {"base": base, "slope": slope, "max_error": error, "at_590": base + slope * 590}


def slopes(options):
    rows = []
    for count in [int(c) for c in options.counts.split(",")]:
        rows.append(measure_count(count, options.port, options.settle))
        print(json.dumps(rows[-1]), flush=True)
    nodes = [r["nodes"] for r in rows]
    fits = {
        key: fit(nodes, [r[key] for r in rows])
        for key in ("cpu_percent", "bytes_per_s", "rss_mb", "store_reads_per_s")
    }
    print(json.dumps(fits, indent=1))
    return {"rows": rows, "fits": fits}


PING = """[load]
seed = 3
duration-ms = 12000
warmup-ms = 2000
entries = {entries}
[stream {name}]
target = /roomfront/ping
caller = staff
rate = {rate}
patience-ms = 3000
"""


def calls(options):
    """Measures the latency that two nodes add to a call, compared with direct calls
    in the same run, and the CPU time of each node per call."""
    rows = []
    for rate in (200, 1000, 2000):
        with tempfile.TemporaryDirectory(prefix="fulmarshelf-") as directory:
            topology = pathlib.Path(directory) / "topology.ini"
            topology.write_text(
                "[service roomfront]\nslots = 400\nconnections = 500\n"
                "[service bookdesk]\nslots = 70\nconnections = 500\n"
                "[route roomfront /ping]\ntime-us = 2000\nbody-bytes = 200\n"
            )
            with Mesh(
                "kwan",
                directory,
                workers={"roomfront": 1, "bookdesk": 1},
                base_port=options.port,
                log_level=options.log_level,
            ) as mesh:
                mesh.topology = topology
                mesh.start()
                owner, entry = mesh.of("roomfront")[0], mesh.of("bookdesk")[0]
                pids = [entry.node_process.pid, owner.node_process.pid]
                before = [cpu_seconds(p) for p in pids]
                direct, direct_out = mesh.start_load(
                    PING.format(entries=owner.backend, name="direct", rate=rate), "direct"
                )
                report = mesh.run_load(
                    PING.format(entries=entry.callers, name="through", rate=rate),
                    "through",
                )
                direct.wait()
                used = [cpu_seconds(p) - b for p, b in zip(pids, before)]
                through = stream_of(report, "through")
                other = json.loads(direct_out.read_text())["streams"][0]
                tries = through["tries"]
                rows.append(
                    {
                        "rate": rate,
                        "through_p50_ms": through["p50_ms"],
                        "through_p99_ms": through["p99_ms"],
                        "direct_p50_ms": other["p50_ms"],
                        "direct_p99_ms": other["p99_ms"],
                        "added_p50_ms": through["p50_ms"] - other["p50_ms"],
                        "added_p99_ms": through["p99_ms"] - other["p99_ms"],
                        "ok": through["ok"],
                        "sent": through["sent"],
                        "entry_us_per_call": 1e6 * used[0] / tries,
                        "owner_us_per_call": 1e6 * used[1] / tries,
                        "rss_mb": max(resident_kb(p) for p in pids) / 1024,
                    }
                )
                print(json.dumps(rows[-1]), flush=True)
    return {"rows": rows}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["slopes", "calls"])
    parser.add_argument("--counts", default="6,12,24,48,96")
    parser.add_argument(
        "--settle", type=float, default=5, help="seconds to wait after the start of a mesh"
    )
    parser.add_argument("--port", type=int, default=22000)
    parser.add_argument("--log-level", default="decisions")
    parser.add_argument("--out")
    parser.add_argument("--name", help="suffix of the result file's name")
    options = parser.parse_args()
    result = slopes(options) if options.what == "slopes" else calls(options)
    if options.out:
        folder = pathlib.Path(options.out)
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"capacity_{options.name or options.what}.json").write_text(
            json.dumps(result, indent=1) + "\n"
        )


if __name__ == "__main__":
    main()
