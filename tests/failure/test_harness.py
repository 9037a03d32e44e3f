"""The harness ends the processes that it started, also when a mesh fails to
start."""

import socket

from harness import Mesh, run_tests
from mesh import PORT_OFFSET


class FaultyMesh(Mesh):
    """Fails to apply settings after processes have started."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.started = []

    def apply_settings(self):
        self.started = list(self.processes)
        raise RuntimeError("settings were not accepted")


def failed_start_leaves_no_processes(checker, directory):
    mesh = FaultyMesh("kwan", directory, base_port=19000)
    try:
        mesh.start()
        checker.require(False, "the start did not fail")
    except RuntimeError:
        pass
    checker.require(
        len(mesh.started) == 1,
        f"{len(mesh.started)} processes started before the fault, expected 1",
    )
    for process in mesh.started:
        checker.require(
            process.poll() is not None,
            f"{process.args} still runs after the failed start",
        )


def occupied_port_is_reported(checker, directory):
    with socket.socket() as other:
        other.bind(("127.0.0.1", 19200 + PORT_OFFSET))
        other.listen()
        try:
            Mesh("kwan", directory, base_port=19200).start()
            checker.require(False, "the start did not fail")
        except RuntimeError as fault:
            checker.require("port" in str(fault), str(fault))


if __name__ == "__main__":
    run_tests([failed_start_leaves_no_processes, occupied_port_is_reported])
