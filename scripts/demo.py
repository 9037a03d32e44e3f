"""Runs two example deployments, each with a browse request and a booking."""

import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tools"))
from mesh import Mesh, http  # noqa: E402

DEPLOYMENTS = {
    "kwan": ("roomfront", "/roomfront/browse", "guest", "/roomfront/reserve", "staff"),
    "rayat": ("bookings", "/catalogue/browse", "shop", "/bookings/book", "coordinator"),
}


def print_answer(title, answer):
    status, headers, body = answer
    outcome = headers.get("Fulmarshelf-Outcome", "none")
    print(f"{title}\n  status {status}, outcome {outcome}\n  {body.strip()[:150]}")
    return status


def run_deployment(name, port):
    service, browse, browser, booking, booker = DEPLOYMENTS[name]
    with tempfile.TemporaryDirectory(prefix="fulmarshelf-") as directory:
        with Mesh(name, directory, base_port=port) as mesh:
            mesh.start()
            print(f"== {name}: {len(mesh.workers)} nodes with backend servers")
            entry = mesh.of(service)[0].callers
            statuses = [
                print_answer(
                    f"GET {browse}",
                    http("GET", entry, browse, headers={"Fulmarshelf-Caller": browser}),
                ),
            ]
            print_answer(
                f"POST {booking} without a ticket", http("POST", entry, booking, "x")
            )
            ticket = http("GET", entry, "/_fulmarshelf/ticket")[2].strip()
            fields = {"Idempotency-Key": ticket, "Fulmarshelf-Caller": booker}
            for title in ("with a ticket", "again: the first answer comes back"):
                statuses.append(
                    print_answer(
                        f"POST {booking} {title}",
                        http("POST", entry, booking, "one set", fields),
                    )
                )
            print(mesh.cli("status", "--node", mesh.workers[0].operator)[1])
            return all(status == 200 for status in statuses)


def main():
    results = [run_deployment("kwan", 11000), run_deployment("rayat", 12000)]
    print("demo: all requests were answered" if all(results) else "demo: FAILED")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
