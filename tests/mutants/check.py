"""Builds each mutant in a scratch copy and requires that its test fails.

Without arguments, the mutants of the core run against the unit and golden
tests, as in CI. With --processes, mutants of the programs run against the
failure tests."""

import argparse
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from mutants import CORE, PROCESSES

ROOT = pathlib.Path(__file__).resolve().parents[2]
COPIED_PATHS = [
    "CMakeLists.txt", "src", "include", "platform", "tests", "tools", "docs", "examples"
]


def build(folder, targets):
    subprocess.run(
        ["cmake", "-S", folder, "-B", folder / "build", "-G", "Ninja"]
        + ["-DCMAKE_BUILD_TYPE=Debug", "-DCMAKE_CXX_FLAGS=-O1 -g0"],
        check=True,
        stdout=subprocess.DEVNULL,
    )
    result = subprocess.run(
        ["ninja", "-C", folder / "build", *targets], capture_output=True, text=True
    )
    if result.returncode != 0:
        print(result.stdout[-2000:])
    return result.returncode == 0


def run_test(folder, test):
    commands = {
        "unit": [folder / "build/tests/unit_tests"],
        "golden": [folder / "build/tests/golden_sessions", folder / "tests/golden"],
    }
    command = commands.get(
        test, ["/usr/bin/python3", folder / "tests/failure" / f"{test}.py"]
    )
    return subprocess.run(
        command,
        capture_output=True,
        text=True,
        timeout=300,
        env={**os.environ, "FULMARSHELF_BUILD": str(folder / "build")},
    )


def check(folder, mutant, targets, verbose):
    path = folder / mutant.file
    original = path.read_text()
    if original.count(mutant.old) != 1:
        print(f"FAIL {mutant.name}: `old` must occur exactly once in "
              f"{mutant.file}")
        return False
    path.write_text(original.replace(mutant.old, mutant.new))
    try:
        if not build(folder, targets):
            print(f"FAIL {mutant.name}: does not build")
            return False
        result = run_test(folder, mutant.test)
    finally:
        path.write_text(original)
    caught = result.returncode != 0
    print(f"{'ok  ' if caught else 'FAIL'} {mutant.name}: {mutant.test} "
          f"{'fails as required' if caught else 'passes but must fail'}", flush=True)
    if verbose:
        print(result.stdout[-1500:])
    return caught


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--processes", action="store_true")
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    mutants = PROCESSES if options.processes else CORE
    targets = (
        ["fulmarshelfd", "fulmarshelf", "load", "relay"]
        + ["platform_standin", "backend_standin"]
        if options.processes
        else ["unit_tests", "golden_sessions"]
    )
    with tempfile.TemporaryDirectory(prefix="fulmarshelf-") as name:
        folder = pathlib.Path(name)
        for item in COPIED_PATHS:
            source = ROOT / item
            if source.is_dir():
                shutil.copytree(source, folder / item)
            else:
                shutil.copy(source, folder / item)
        passed = sum(check(folder, m, targets, options.verbose) for m in mutants)
    print(f"{passed} passed, {len(mutants) - passed} failed")
    return 0 if passed == len(mutants) else 1


if __name__ == "__main__":
    sys.exit(main())
