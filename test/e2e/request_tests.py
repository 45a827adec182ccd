"""End-to-end tests of the request path without injected faults."""

import json
import socket
import time

from cluster import call, finish, free_port, wait_for
from small_site import Site

TESTS = {}


def test(function):
    TESTS[function.__name__] = function
    return function


def send_raw(address, data, limit=5.0):
    """Sends bytes as they are; returns what is received until EOF, or until
    nothing has arrived for 1 s."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=limit) as sock:
        sock.sendall(data)
        received = b""
        sock.settimeout(1.0)
        try:
            while chunk := sock.recv(65536):
                received += chunk
        except TimeoutError:
            pass
        return received


@test
def whole_path(build, work):
    """Traffic of every class is answered, each request with its own answer."""
    with Site(build, work) as site:
        loads = [site.load(f"w-{name}", rate=200, ms=1500, **{"class": name},
                           tenant="north", method=method)
                 for name, method in (("urgent", "POST"), ("standard", "GET"),
                                      ("background", "PUT"))]
        for report in site.expect_no_violations(*loads):
            assert report["outcomes"] == {"answered": report["sent"]}, report
            assert report["sent"] > 200, report


@test
def pipelined_answers_in_order(build, work):
    """Pipelined requests get their own answers, in request order."""
    with Site(build, work) as site:
        times = (300, 5, 120, 1)
        data = b"".join(
            f"GET /orders/p{index}?work_ms={ms} HTTP/1.1\r\nHost: x\r\n\r\n"
            .encode() for index, ms in enumerate(times))
        text = send_raw(site.entry.callers, data).decode()
        positions = [text.find(f'"/orders/p{index}?') for index in range(4)]
        assert -1 not in positions and positions == sorted(positions), text


@test
def bad_input_is_named(build, work):
    """Malformed or oversized requests get a 4xx status; wrong headers and
    services are named in the answer. None of them runs."""
    with Site(build, work, entries="a", targets="a",
              more="") as site:
        address = site.entry.callers

        def expect(code, expected_text, path="/orders/x", body="", **headers):
            named = {f"Coltsfootshed-{key}": value
                     for key, value in headers.items()}
            status, fields, text = call(address, "POST", path, body, named)
            assert status == code and expected_text in text, (status, text)
            assert fields["Coltsfootshed-Outcome"] == "not-run", fields

        expect(404, 'did you mean orders?', path="/ordres/x")
        expect(400, "Coltsfootshed-Class: expected urgent", Class="soon")
        expect(400, "Coltsfootshed-Tenant: expected", Tenant="nobody")
        expect(400, "Coltsfootshed-Idempotent: expected true", Idempotent="y")
        expect(400, "not a request header of ours", Klass="urgent")
        deadline = {"Coltsfootshed-Deadline-Ms": "-5"}
        status, _, text = call(address, "GET", "/orders/x", headers=deadline)
        assert status == 400 and "Deadline-Ms: expected" in text, text
        for data, code in (
                (b"\x01nonsense\r\n\r\n", b" 400 "),
                (b"POST /orders/x HTTP/1.1\r\nHost: x\r\n"
                 b"Content-Length: 99999999\r\n\r\nabc", b" 413 "),
                (b"POST /orders/x HTTP/1.1\r\nHost: x\r\n"
                 b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                 b"0\r\n\r\n", b" 400 "),
                (b"GET /orders/x HTTP/1.1\r\nHost: x\r\n" +
                 b"".join(b"X-%d: %s\r\n" % (index, b"y" * 1000)
                          for index in range(80)) + b"\r\n", b" 431 ")):
            answer = send_raw(address, data)
            assert answer[:20].find(code) > 0, (code, answer[:200])
        assert site.runs() == {}, site.runs()


@test
def caller_that_hangs_up_while_queued_is_dropped(build, work):
    """A queued request never runs if its caller has closed the connection."""
    with Site(build, work, entries="a", targets="a") as site:
        busy = site.load("busy", concurrency=8, ms=1000, work=1000)
        wait_for(lambda: site.status(site.entry)["requests"]["services"]
                 ["orders"]["running"] == 8, "all slots taken")
        host, port = site.entry.callers.split(":")
        sock = socket.create_connection((host, int(port)))
        sock.sendall(b"POST /orders/gone HTTP/1.1\r\nHost: x\r\n"
                     b"Coltsfootshed-Request-Id: gone\r\n"
                     b"Content-Length: 0\r\n\r\n")
        wait_for(lambda: site.status(site.entry)["requests"]["services"]
                 ["orders"]["waiting"] == 1, "the request waits")
        sock.close()
        site.expect_no_violations(busy)
        assert "gone" not in site.runs()


@test
def config_conflict_and_roll_out(build, work):
    """Of two submissions based on the same version, the first is in force on
    every entry VM within 19 s and the second gets a conflict. Errors name line
    and field. A submission without the token gets 401."""
    with Site(build, work) as site:
        entries = list(site.entries.values())
        started = time.monotonic()
        first = site.submit(entries[0], site.document("retry_ratio = 0.2\n"),
                            "--from", "1")
        took = time.monotonic() - started
        assert first.returncode == 0 and took < 19, (first, took)
        second = site.submit(entries[1], site.document("retry_ratio = 0.3\n"),
                             "--from", "1")
        assert second.returncode == 3, second
        shown = site.ctl(entries[1], "config", "show").stdout
        assert "retry_ratio = 0.2" in shown, shown
        bad = site.submit(entries[0], site.document("retry_ration = 0.2\n"))
        assert bad.returncode == 2, bad
        assert "line 12: services.orders.retry_ration" in bad.stderr, bad
        assert 'did you mean "retry_ratio"?' in bad.stderr, bad
        unauthorised = call(entries[0].admin, "POST", "/v1/config?from=2",
                            site.document())
        assert unauthorised[0] == 401, unauthorised


@test
def graceful_stop_cuts_nothing(build, work):
    """SIGTERM, sent twice, under load: every request that was sent gets its
    answer, and the process exits with 0."""
    with Site(build, work, entries="aa", targets="aa") as site:
        stopping, staying = site.entries.values()
        load = site.load("stay", [staying], rate=20, ms=2500, work=200)
        stopping_load = site.load("stop", [stopping], rate=60, ms=500,
                                  work=400)
        wait_for(lambda: site.status(stopping)["requests"]["active_requests"]
                 > 10, "requests under way and waiting")
        time.sleep(0.5)
        stopping.process.terminate()
        stopping.process.send_signal(15)
        reports = site.expect_no_violations(load, stopping_load)
        for report in reports:
            assert report["outcomes"] == {"answered": report["sent"]}, \
                report["outcomes"]
        assert stopping.process.wait(10) == 0


@test
def listening_ports_are_handed_out_once(build, work):
    """Two addresses of one cluster must not share a port: the process that
    binds it second fails to start."""
    ports = [free_port() for _ in range(500)]
    assert len(set(ports)) == len(ports), "a port was handed out twice"
