"""Connections that fall silent without closing, and a complete network cut."""

import json
import time

from harness import Mesh, http, plan, run_tests, stream_of
from mesh import PORT_OFFSET


def start(directory, port):
    """All traffic to the nodes of bookdesk and slotboard passes through the relay."""
    mesh = Mesh("kwan", directory, base_port=port)
    port += PORT_OFFSET
    mesh.relay_admin = f"127.0.0.1:{port + 1}"
    maps = []
    relayed = mesh.of("bookdesk") + mesh.of("slotboard")
    for index, worker in enumerate(relayed):
        worker.advertised = f"127.0.0.1:{port + 100 + index}"
        maps += ["--map", f"{worker.advertised}={worker.peers}"]
    mesh.spawn("relay", "--admin", mesh.relay_admin, *maps)
    return mesh.start()


def entries(mesh):
    return ", ".join(w.callers for w in mesh.of("roomfront"))


def silent_connections(checker, directory):
    with start(directory, 14000) as mesh:
        process, out = mesh.start_load(plan(entries(mesh), 8000))
        time.sleep(2)
        http("POST", mesh.relay_admin, "/?freeze=1")
        time.sleep(2.5)
        http("POST", mesh.relay_admin, "/?freeze=1")
        process.wait(timeout=60)
        report = json.loads(out.read_text())
        checker.check_runs(mesh, report)
        checker.check_answers(report, all_answered=False)
        for name in ("browse", "reserve"):
            stream = stream_of(report, name)
            checker.require(
                stream["ok"] >= 0.9 * stream["sent"],
                f"{name}: only {stream['ok']} of {stream['sent']} succeeded with silent links",
            )


def network_cut_and_recovery(checker, directory):
    with start(directory, 14300) as mesh:
        process, out = mesh.start_load(plan(entries(mesh), 14000, browse=30, reserve=10))
        time.sleep(2)
        http("POST", mesh.relay_admin, "/?cut=1")
        time.sleep(4)
        http("POST", mesh.relay_admin, "/?cut=0")
        process.wait(timeout=60)
        report = json.loads(out.read_text())
        checker.check_runs(mesh, report)
        checker.check_answers(report, all_answered=False)
        browse = stream_of(report, "browse")
        succeeded = sum(browse["ok_bins"][120:138])
        sent = sum(browse["sent_bins"][120:138])
        checker.require(
            succeeded >= 0.95 * sent,
            f"{succeeded} of {sent} browse requests succeeded after the cut",
        )


if __name__ == "__main__":
    run_tests([silent_connections, network_cut_and_recovery])
