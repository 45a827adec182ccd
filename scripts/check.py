"""Runs every check and ends with "N passed, N failed".

Failures listed in KNOWN-RED.txt are printed but do not fail the run; a listed
test that passes is reported."""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
ASAN_BUILD = ROOT / "build-asan"
TSAN_BUILD = ROOT / "build-tsan"
JOBS = min(6, os.cpu_count() or 2)
# The programs that the end-to-end tests run.
PROGRAMS = ("coltsfootshedd coltsfootctl platform-standin target-standin relay "
            "traffic")


def sources(*patterns):
    found = [path for pattern in patterns for path in ROOT.glob(pattern)]
    return sorted(path for path in found if ".capnp." not in path.name)


def run(command, stderr=subprocess.STDOUT, **options):
    if not pathlib.Path(command[0]).exists() and "/" in str(command[0]):
        return subprocess.CompletedProcess(command, 127, "not built", "")
    return subprocess.run([str(part) for part in command], cwd=ROOT, text=True,
                          stdout=subprocess.PIPE, stderr=stderr, check=False,
                          **options)


def check_format():
    files = sources("include/**/*.h", "lib/**/*.h", "lib/**/*.cpp",
                    "platform/*.h", "platform/*.cpp",
                    "tools/**/*.*", "test/**/*.cpp", "unittests/**/*.*",
                    "bench/*.cpp")
    result = run(["clang-format", "--dry-run", "--Werror", *files])
    return [("format", result.returncode == 0, result.stdout)]


def build(directory, *options, targets="all"):
    result = run([ROOT / "scripts/build.sh", directory, *options],
                 env={**os.environ, "TARGETS": targets})
    return [(f"build {directory.name}", result.returncode == 0, result.stdout)]


def tidy(path):
    result = run(["clang-tidy", "--quiet", "-p", BUILD, path])
    name = f"tidy {path.relative_to(ROOT)}"
    return name, result.returncode == 0, result.stdout


def check_tidy():
    files = sources("lib/**/*.cpp", "platform/*.cpp", "tools/**/*.cpp",
                    "test/**/*.cpp")
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        return list(pool.map(tidy, files))


def unit_tests(directory, *suites):
    result = run([directory / "unittests", *suites], timeout=600,
                 stderr=subprocess.PIPE)
    results = []
    output = result.stdout + result.stderr
    name = None
    for line in result.stdout.splitlines():
        # Log lines of a test can stand between its name and its result.
        if started := re.match(r"(\w+::\w+::\w+)", line):
            name = f"{started[1]} [{directory.name}]"
        ended = re.search(r" : (OK|assertion|error)$", line)
        if ended and name:
            results.append((name, ended[1] == "OK", output))
            name = None
    if result.returncode != 0 and all(ok for _, ok, _ in results):
        results.append((f"unittests [{directory.name}]", False, output))
    return results


def tests_by_suite():
    """Returns the names of the unit tests of each suite, from the sources."""
    suites = {}
    for path in sources("unittests/**/*.cpp"):
        text = path.read_text()
        for suite in re.findall(r"CPPUNIT_TEST_SUITE\((\w+)\)", text):
            suites[f"coltsfootshed::{suite}"] = re.findall(
                r"CPPUNIT_TEST\((\w+)\)", text)
        for suite, base in re.findall(
                r"CPPUNIT_TEST_SUB_SUITE\((\w+),\s*(\w+)\)", text):
            suites[f"coltsfootshed::{suite}"] = suites[f"coltsfootshed::{base}"]
    return suites


def parallel_unit_tests(directory):
    """Runs each suite in a process of its own, as sanitized ones are slow."""
    suites = tests_by_suite()
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        runs = pool.map(lambda suite: unit_tests(directory, suite), suites)
        results = [result for run_results in runs for result in run_results]
    done = {name for name, _, _ in results}
    for suite, tests in suites.items():
        for test in tests:
            name = f"{suite}::{test} [{directory.name}]"
            if name not in done:
                results.append((name, False, "did not run"))
    return results


def e2e_tests(directory, *names):
    result = run([sys.executable, "test/e2e/run.py", directory, *names],
                 timeout=600)
    results = []
    for line in result.stdout.splitlines():
        match = re.fullmatch(r"(PASS|FAIL) (\S+)", line)
        if match:
            name = f"e2e {match[2]} [{directory.name}]"
            results.append((name, match[1] == "PASS", result.stdout))
    if not results:
        results.append((f"e2e [{directory.name}]", False, result.stdout))
    return results


def known_red():
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    return {line.split("|")[0].strip(): line for line in lines
            if line.strip() and not line.startswith("#")}


STEPS = [
    ("format", check_format),
    ("build", lambda: build(BUILD)),
    ("unit tests", lambda: unit_tests(BUILD)),
    ("end-to-end tests", lambda: e2e_tests(BUILD)),
    ("sanitized build", lambda: build(
        ASAN_BUILD, "-DCOLTSFOOTSHED_SANITIZE=address,undefined",
        targets=f"unittests {PROGRAMS}")),
    ("sanitized unit tests", lambda: parallel_unit_tests(ASAN_BUILD)),
    ("sanitized end-to-end test", lambda: e2e_tests(ASAN_BUILD, "whole_path")),
    ("thread-sanitized build", lambda: build(
        TSAN_BUILD, "-DCOLTSFOOTSHED_SANITIZE=thread", targets=PROGRAMS)),
    ("thread-sanitized end-to-end test", lambda: e2e_tests(
        TSAN_BUILD, "whole_path")),
    ("lint", check_tidy),
]


def main():
    known = known_red()
    passed = failed = 0
    for title, step in STEPS:
        started = time.monotonic()
        results = step()
        print(f"== {title}: {time.monotonic() - started:.0f} s", flush=True)
        for name, good, output in results:
            if good and name in known:
                print(f"listed in KNOWN-RED.txt but passes: {name}")
            if good:
                passed += 1
                continue
            if name in known:
                print(f"known red, passed over: {known[name]}")
                continue
            failed += 1
            print(f"FAILED {name}\n{output[-6000:]}", flush=True)
        if title in ("build",) and failed:
            break
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
