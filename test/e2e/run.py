"""Runs end-to-end tests: run.py BUILD-DIRECTORY [NAME ...]

Prints PASS or FAIL and the name of each test, and the ends of the log files of
failed ones."""

import pathlib
import sys
import tempfile
import traceback

import failure_tests
import fleet_tests
import request_tests

TESTS = {**request_tests.TESTS, **failure_tests.TESTS, **fleet_tests.TESTS}


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    names = sys.argv[2:] or list(TESTS)
    failed = 0
    for name in names:
        with tempfile.TemporaryDirectory(prefix="coltsfootshed-") as work:
            try:
                TESTS[name](build, work)
                print(f"PASS {name}", flush=True)
            except Exception:
                failed += 1
                print(f"FAIL {name}", flush=True)
                traceback.print_exc(file=sys.stdout)
                for log in sorted(pathlib.Path(work).glob("*.log")):
                    print(f"--- {log.name}\n{log.read_text()[-1500:]}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
