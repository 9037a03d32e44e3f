"""Processes are killed and paused under load: nothing runs twice, no request
that ran is reported as not-run, no caller gets the answer to another request,
and the other nodes keep serving."""

import signal
import time

from harness import Mesh, http, plan, run_tests, service_runs, stream_of


def start(directory, port):
    return Mesh("kwan", directory, base_port=port).start()


def entries(mesh):
    return ", ".join(w.callers for w in mesh.of("roomfront")[:2])


def finish(checker, mesh, process, out, extra=None):
    import json

    process.wait(timeout=60)
    report = json.loads(out.read_text())
    checker.check_runs(mesh, report, extra)
    checker.check_answers(report, all_answered=False)
    return report


def kill_vm(checker, directory):
    with start(directory, 13000) as mesh:
        process, out = mesh.start_load(plan(entries(mesh), 7000))
        time.sleep(2)
        victim = mesh.of("bookdesk")[0]
        before = service_runs(victim)
        victim.backend_process.kill()
        victim.node_process.kill()
        report = finish(checker, mesh, process, out, before)
        reserve = stream_of(report, "reserve")
        checker.require(
            reserve["ok"] >= 0.9 * reserve["sent"],
            f"only {reserve['ok']} of {reserve['sent']} bookings succeeded after a VM was killed",
        )


def kill_node_and_restart(checker, directory):
    with start(directory, 13200) as mesh:
        process, out = mesh.start_load(plan(entries(mesh), 8000))
        time.sleep(2)
        victim = mesh.of("bookdesk")[1]
        victim.stop_node(signal.SIGKILL)
        time.sleep(1)
        victim.start_node()
        finish(checker, mesh, process, out)
        mesh.wait_ready()


def freeze_owner(checker, directory):
    with start(directory, 13400) as mesh:
        process, out = mesh.start_load(plan(entries(mesh), 9000))
        time.sleep(2)
        victim = mesh.of("bookdesk")[2]
        victim.stop_node(signal.SIGSTOP)
        time.sleep(3)
        victim.stop_node(signal.SIGCONT)
        report = finish(checker, mesh, process, out)
        reserve = stream_of(report, "reserve")
        checker.require(
            reserve["ok"] >= 0.9 * reserve["sent"],
            f"only {reserve['ok']} of {reserve['sent']} bookings succeeded with a paused node",
        )


def freeze_home_and_kill_owner(checker, directory):
    """A ticket's home is paused while requests for it arrive at another entry, and
    an owner is killed in the meantime."""
    with start(directory, 13600) as mesh:
        home, entry = mesh.of("roomfront")[:2]
        process, out = mesh.start_load(plan(entry.callers, 8000))
        tickets = [
            http("GET", home.callers, "/_fulmarshelf/ticket")[2].strip()
            for _ in range(10)
        ]
        time.sleep(1)
        home.stop_node(signal.SIGSTOP)
        answers = []
        for number, ticket in enumerate(tickets):
            answers.append(
                http(
                    "POST",
                    entry.callers,
                    "/roomfront/reserve",
                    "room",
                    {
                        "Idempotency-Key": ticket,
                        "X-Test-Id": f"held-reserve-{number}",
                        "Fulmarshelf-Deadline-Ms": "400",
                    },
                )
            )
        victim = mesh.of("slotboard")[0]
        before = service_runs(victim)
        victim.backend_process.kill()
        victim.node_process.kill()
        home.stop_node(signal.SIGCONT)
        for number, ticket in enumerate(tickets):
            http(
                "POST",
                entry.callers,
                "/roomfront/reserve",
                "room",
                {"Idempotency-Key": ticket, "X-Test-Id": f"held-reserve-{number}"},
            )
        for status, headers, _ in answers:
            checker.require(
                headers.get("Fulmarshelf-Outcome") == "unknown",
                f"a request whose home is paused got {status} {headers}",
            )
        finish(checker, mesh, process, out, before)


if __name__ == "__main__":
    run_tests([kill_vm, kill_node_and_restart, freeze_owner, freeze_home_and_kill_owner])
