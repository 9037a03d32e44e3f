"""The platform is down, slow or loses answers; operators change settings
concurrently."""

import json
import threading
import time

from harness import Mesh, plan, run_tests, wait_until

IN_FORCE_SECONDS = 3.0


def start(directory, port, **options):
    return Mesh("kwan", directory, base_port=port, **options).start()


def versions(mesh, path="/kwan"):
    found = []
    for worker in mesh.workers:
        status = worker.status()
        settings = {s["path"]: s["version"] for s in (status or {}).get("settings", [])}
        found.append(settings.get(path, 0))
    return found


def write_variant(directory, name, patience):
    path = f"{directory}/{name}.ini"
    with open(path, "w", encoding="utf-8") as file:
        file.write(
            "[team]\nservices = roomfront, bookdesk, songbook, slotboard\n"
            f"[defaults]\npatience-ms = {patience}\n"
            "[route roomfront /reserve]\nidempotent = no\nimportance = 9\n"
        )
    return path


def accepted_version(out):
    return int(out.split("version ")[1].split()[0])


def platform_down_throughout(checker, directory):
    """Bookings and browse requests are still served, and a node restarts with
    settings from its peers."""
    with start(directory, 15000) as mesh:
        mesh.platform_admin("down=1")
        entry = ", ".join(w.callers for w in mesh.of("roomfront")[:2])
        process, out = mesh.start_load(plan(entry, 7000))
        victim = mesh.of("songbook")[0]
        victim.seeds = [mesh.of("bookdesk")[0].peers]
        victim.stop_node()
        victim.node_process.wait(timeout=30)
        victim.start_node()
        wait_until(
            lambda: (victim.status() or {}).get("phase") == "serving",
            "a node restarts without the platform",
        )
        process.wait(timeout=60)
        report = json.loads(out.read_text())
        checker.check_runs(mesh, report)
        checker.check_answers(report)
        code, _, err = mesh.cli("settings", "apply", "/kwan", mesh.settings)
        checker.require(code == 4, f"apply without a platform exited with {code}: {err}")


def slow_platform(checker, directory):
    with start(directory, 15200) as mesh:
        mesh.platform_admin("slow-ms=1500")
        report = mesh.run_load(plan(mesh.entries("roomfront"), 4000))
        checker.check_runs(mesh, report)
        checker.check_answers(report)


def lost_store_answer_is_resolved(checker, directory):
    with start(directory, 15400) as mesh:
        mesh.platform_admin("lose-writes=1")
        text = write_variant(directory, "lost", 1700)
        code, out, err = mesh.cli("settings", "apply", "/kwan", text)
        checker.require(code == 0 and "settled" in out, f"{code} {out} {err}")
        code, out, _ = mesh.cli("settings", "get", "/kwan")
        checker.require("1700" in out, "the accepted text is not stored")
        wait_until(
            lambda: mesh.cli("settings", "in-force", "/kwan")[0] == 0,
            "the accepted settings are in force",
        )


def accepted_settings_are_in_force_within_seconds(checker, directory):
    with start(directory, 15600) as mesh:
        for round_number in range(5):
            text = write_variant(directory, f"v{round_number}", 1000 + round_number)
            code, out, err = mesh.cli("settings", "apply", "/kwan", text)
            accepted = time.monotonic()
            checker.require(code == 0, err)
            version = accepted_version(out)
            wait_until(
                lambda: min(versions(mesh)) >= version,
                "the accepted settings are in force",
            )
            elapsed = time.monotonic() - accepted
            checker.require(
                elapsed <= IN_FORCE_SECONDS,
                f"version {version} was in force only after {elapsed:.2f} s",
            )


def concurrent_changes_conflict(checker, directory):
    """Of two changes based on the same version, one is accepted, and the other is
    refused with the author of the accepted one. Versions in force never
    decrease."""
    with start(directory, 15800) as mesh:
        observed = []
        done = threading.Event()

        def watch():
            while not done.is_set():
                observed.append(versions(mesh))
                time.sleep(0.02)

        watcher = threading.Thread(target=watch)
        watcher.start()
        accepted = []
        for round_number in range(6):
            base = max(versions(mesh))
            results = {}

            def change(name, number=round_number, based=base, into=results):
                text = write_variant(directory, f"{name}{number}", 1000 + number)
                into[name] = mesh.cli(
                    "settings", "apply", "/kwan", text, "--if-version", based, author=name
                )

            threads = [
                threading.Thread(target=change, args=(name,)) for name in ("ann", "ben")
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            codes = sorted(code for code, _, _ in results.values())
            checker.require(codes == [0, 3], f"round {round_number}: exit codes {codes}")
            for name, (code, out, err) in results.items():
                if code == 0:
                    accepted.append(accepted_version(out))
                else:
                    other = "ben" if name == "ann" else "ann"
                    checker.require(f"written by {other}" in err, err)
            wait_until(
                lambda: min(versions(mesh)) >= accepted[-1],
                "the accepted settings are in force",
            )
        done.set()
        watcher.join()
        checker.require(len(set(accepted)) == len(accepted), "a version was accepted twice")
        for index in range(len(mesh.workers)):
            history = [row[index] for row in observed]
            checker.require(
                history == sorted(history),
                f"a node returned to older settings: {history}",
            )


def faulty_settings_change_nothing(checker, directory):
    with start(directory, 16000) as mesh:
        before = versions(mesh)
        path = f"{directory}/bad.ini"
        with open(path, "w", encoding="utf-8") as file:
            file.write("[team]\nservices = a\n[defaults]\nimportance = 99\ncolour = red\n")
        code, _, err = mesh.cli("settings", "apply", "/kwan", path)
        checker.require(code == 2 and "bad.ini:4" in err and "bad.ini:5" in err, err)
        checker.require(
            versions(mesh) == before,
            "a faulty file changed the settings in force",
        )
        with open(path, "w", encoding="utf-8") as file:
            file.write("[team]\nservices = bookdesk\n")
        code, _, err = mesh.cli("settings", "apply", "/other", path)
        checker.require(
            code == 2 and "/kwan" in err,
            f"service of another team: {code} {err}",
        )


if __name__ == "__main__":
    run_tests(
        [
            platform_down_throughout,
            slow_platform,
            lost_store_answer_is_resolved,
            accepted_settings_are_in_force_within_seconds,
            concurrent_changes_conflict,
            faulty_settings_change_nothing,
        ]
    )
