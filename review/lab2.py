"""What the scripts of the second review share: a small deployment on loopback addresses.

Starts the project's stand-in of the platform's store and routers with the command of the deploy
file, runs scripted servers and clients in threads, and writes a record. Python's standard library
only; python3 comes with the package meson, which the deploy file lists.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROUTER = os.path.join(ROOT, "target", "ashspindle-router")
STORE = os.path.join(ROOT, "target", "review-2", "standin-store")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110
PORTS = (12000, 32000)

HOST = "shop.example"
KEY = "shop-key"

# The bounds of the site wsct-muscat.
GRACE_S = 8
CONFIG_S = 2.0
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
          "IdleTimeoutMs": 15000}

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt in the folder of the case: time in seconds since the start, and an event."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def free_ports(count):
    """Returns ports below the range from which the kernel takes those of outgoing connections."""
    sockets = []
    while len(sockets) < count:
        s = socket.socket()
        try:
            s.bind(("127.0.0.1", random.randrange(*PORTS)))
        except OSError:
            s.close()
        else:
            sockets.append(s)
    found = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return found


class Server(threading.Thread):
    """A server of the platform: reads requests one after the other on each connection, and calls
    answer(server, connection, method and target, fields, body) for each."""

    def __init__(self, record, name, answer):
        super().__init__(daemon=True)
        self.record, self.name_, self.answer = record, name, answer
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(64)
        self.port = self.socket.getsockname()[1]
        self.runs = []  # ids of the requests that it began to run
        self.start()

    def run(self):
        while True:
            connection, _ = self.socket.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                line = reader.readline().decode().strip()
                if not line:
                    break
                fields = http.client.parse_headers(reader)
                body = reader.read(int(fields.get("Content-Length", "0")))
                attempt = fields.get("Ashspindle-Attempt-Id", "-")
                if fields.get("Ashspindle-Expect-Instance", self.name_) != self.name_:
                    connection.sendall(f"HTTP/1.1 421 Misdirected Request\r\nAshspindle-Attempt-Id: "
                                       f"{attempt}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.runs.append(attempt)
                self.record.write(f"server {self.name_} runs {attempt} ({line}, "
                                  f"{len(body)} bytes of body)")
                self.answer(self, connection, line, fields, body)
        except OSError as error:
            self.record.write(f"server {self.name_}: connection ended: {error}")
        connection.close()

    def head(self, fields, extra, status="200 OK"):
        return (f"HTTP/1.1 {status}\r\nAshspindle-Attempt-Id: "
                f"{fields.get('Ashspindle-Attempt-Id', '-')}\r\n"
                f"Ashspindle-Server-Seal: seal-{self.name_}\r\n{extra}\r\n").encode()


class Lab:
    """The processes of a case. Use as a context manager, which ends them."""

    def __init__(self, record, routers=1):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = {}
        self.store_port = free_ports(1)[0]
        self.ports = [free_ports(5) for _ in range(routers)]

    def __enter__(self):
        self.spawn("store", [STORE, str(self.store_port)])
        wait_for(lambda: answers(self.store_port), 5, "the store does not start")
        return self

    def __exit__(self, *_):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
            self.record.write(f"{name} has ended")
        self.folder.cleanup()

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def spawn(self, name, command, variables=None):
        with open(self.path(name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT,
                                                    env={**os.environ, **(variables or {})})
        self.record.write(f"{name} started")

    def start_router(self, index):
        """Settings as deploy/router.toml.in gives them for the site wsct-muscat."""
        own = self.ports[index]
        seeds = ", ".join(f'"127.0.0.1:{ports[3]}"' for ports in self.ports[:3])
        with open(self.path(f"router-{index}.toml"), "w", encoding="utf-8") as file:
            file.write(f'''box = "edge-ruwi-hall-{index + 1}"
hall = "ruwi-hall"
frontend_listen = "127.0.0.1:{own[0]}"
readiness_listen = "127.0.0.1:{own[1]}"
directory_listen = "127.0.0.1:{own[2]}"
peer_listen = "127.0.0.1:{own[3]}"
metrics_listen = "127.0.0.1:{own[4]}"
store_address = "127.0.0.1:{self.store_port}"
fleet_key = "0f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0"
seeds = [{seeds}]
grace_s = {GRACE_S}
resend_ratio = 0.2
resend_window_s = 10
resend_slack = 92
link_mbps = 1000
memory_mb = 260
''')
        self.spawn(f"router-{index}", [ROUTER],
                   {"ASHSPINDLE_CONFIG": self.path(f"router-{index}.toml")})
        wait_for(lambda: answers(own[1], "/readyz") == 200, 10, f"router {index} is not ready")
        self.record.write(f"router-{index} is ready")

    def frontend(self, index=0):
        return ("127.0.0.1", self.ports[index][0])

    def signal(self, name, number):
        self.record.write(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def log(self, name):
        with open(self.path(name + ".log"), encoding="utf-8") as file:
            return file.read()

    def put(self, key, value):
        """Writes to the store. Its answer acknowledges."""
        status, _ = call(self.store_port, "PUT", f"/put?{key}", json.dumps(value))
        if status != 200:
            raise RuntimeError(f"the store answers {status}")
        self.record.write(f"the store acknowledges {key}")

    def list_server(self, server, service, state="ready"):
        self.put(f"servers/{server.name_}", {
            "Service": service, "Address": f"127.0.0.1:{server.port}", "Zone": "ruwi-hall",
            "Version": 1, "Slots": 6, "State": state, "ColdRemainingMs": 0, "Sequence": 1})


def route(name, kind, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "RouteKind": kind,
            "TimeoutMs": 8000, "SloMs": 300, "Priority": 1, "Service": "stock-api",
            "MaxAttempts": 1 if kind == "unsafe" else 2, "Anonymous": False, **more}


def config(version, routes, limits=None):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": "stock-api", "HealthPath": "/healthz", "MaxConns": 110}],
            "Limits": limits or LIMITS, "Tenants": [{"Name": "shop-1", "ApiKeys": [KEY]}]}


def request(method, target, attempt, body=b"", deadline_ms=8000):
    return (f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAshspindle-Attempt-Id: {attempt}\r\n"
            f"Ashspindle-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def call(port, method, target, body=""):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, target, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def answers(port, target="/kv-range?PathPrefix=op/"):
    try:
        return call(port, "GET", target)[0]
    except (OSError, http.client.HTTPException):
        return 0


def wait_for(condition, limit_s, what):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise RuntimeError(what)
        time.sleep(0.05)


class Answer:
    """What a client has read: whether it is a whole answer by HTTP/1.1, and how it ended."""

    def __init__(self):
        self.bytes = b""
        self.ended = None  # how the connection ended, if it did before the whole answer
        self.ended_at = None

    @property
    def status(self):
        return int(self.bytes.split(b" ", 2)[1]) if self.bytes.count(b" ") > 1 else 0

    def body(self):
        return self.bytes.partition(b"\r\n\r\n")[2]

    def whole(self):
        head, end, body = self.bytes.partition(b"\r\n\r\n")
        if not end:
            return False
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                return len(body) >= int(value)
            if name.lower() == b"transfer-encoding":
                return body.endswith(b"\r\n0\r\n\r\n") or body == b"0\r\n\r\n"
        return False

    def text(self):
        end = "whole" if self.whole() else f"not whole, connection ended: {self.ended}"
        return f"status {self.status}, {len(self.body())} bytes of body, {end}"


def read_answer(connection, record, timeout_s, piece_bytes=65536, pause_s=0.0):
    """Reads an answer in pieces of piece_bytes with pause_s between them."""
    answer = Answer()
    end = time.monotonic() + timeout_s
    while not answer.whole():
        connection.settimeout(max(0.01, end - time.monotonic()))
        try:
            piece = connection.recv(piece_bytes)
        except socket.timeout:
            answer.ended = "the client has given up"
        except OSError as error:
            answer.ended = str(error)
        else:
            answer.bytes += piece
            if not piece:
                answer.ended = "closed"
        if answer.ended:
            break
        time.sleep(pause_s)
    answer.ended_at = record.now()
    return answer


def main(folder, play):
    """Plays a case: play(record) returns whether the rule was broken."""
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")

    def give_up(*_):
        raise RuntimeError(f"not done after {LIMIT_S} s")

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(LIMIT_S)
    try:
        broken = play(record)
        status = EXIT_BROKEN if broken else EXIT_HELD
        result = "the rule was broken" if broken else "the rule held"
    except Exception as error:  # pylint: disable=broad-except  # no other end may pass for a result
        status, result = EXIT_NOT_RUN, f"the case could not run: {error!r}"
    record.write(result)
    print(result)
    sys.stdout.flush()
    os._exit(status)
