"""Stand-ins for the users' platform: store, upstream, client and process control, on loopback.

They follow PROTOCOL.md and DEPLOY.md. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/bin/acaciasilld-platform"
HEARTBEAT_S = 1.5

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class Record:
    """Writes record.txt: one line per event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, kind, **facts):
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{self.now():8.3f} {kind} {text}\n")

    def close(self):
        self.file.close()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived = time.monotonic()

    @property
    def id(self):
        return self.headers.get("request-id")


async def read_head(reader):
    """Returns the first line and the fields of a message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(head[1].get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, head[1], body)


def format_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on each connection; `serve` returns status, headers, body."""

    def __init__(self, ip, serve):
        self.ip = ip
        self.serve = serve
        self.port = 0
        self.server = None
        self.writers = {}

    async def open(self):
        self.server = await asyncio.start_server(self._on_connection, self.ip, self.port,
                                                 limit=1 << 24, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def _on_connection(self, reader, writer):
        self.writers[writer] = None
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self.serve(request)
                if answer is None:
                    break
                writer.write(format_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    def crash(self):
        """Closes the port and resets all connections, the oldest first, as when a process ends."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: rows, conditional writes and the feed."""

    def __init__(self, ip="127.0.0.1"):
        self.tables = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        # None, or "busy": all calls get 503, so that nothing is done.
        self.fault = None
        self.http = HttpServer(ip, self._serve)

    def put(self, table, key, value):
        self.version += 1
        self.tables.setdefault(table, {})[key] = (base64.b64encode(value).decode(), self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def rows(self, table, after=0):
        return [{"table": table, "part": "", "key": key, "value": value, "ver": version}
                for key, (value, version) in sorted(self.tables.get(table, {}).items())
                if version > after]

    def value(self, table, key):
        row = self.tables.get(table, {}).get(key)
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def _answer(self, status, **body):
        body.update(ver=self.version, now_s=time.monotonic() - self.started)
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        return status, headers, json.dumps(body).encode()

    async def _serve(self, request):
        if self.fault == "busy":
            return self._answer(503)
        path, _, query_text = request.target.partition("?")
        query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
        await asyncio.sleep(0.004)
        if self.fault == "busy":
            return self._answer(503)
        if path == "/api/rows-get":
            return self._answer(200, rows=self.rows(query["table"]), has_more=False)
        if path == "/api/rows-feed":
            return await self._feed(query)
        if path == "/api/rows-tx":
            return self._write(json.loads(request.body))
        return self._answer(404)

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
        while not (rows := self.rows(query["table"], after)):
            left = until - time.monotonic()
            if left <= 0 or self.fault == "busy":
                break
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.1))
            except asyncio.TimeoutError:
                pass
        if self.fault == "busy":
            return self._answer(503)
        return self._answer(200, rows=rows, has_more=False)

    def _write(self, body):
        for row in body["expect"]:
            held = self.tables.get(row["table"], {}).get(row["key"], ("", 0))
            if held[1] != row["ver"]:
                return self._answer(412, rows=self.rows(row["table"]))
        for row in body["upserts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return self._answer(200)


class Upstream:
    """A backend server. `work` runs a request and returns status, headers and body."""

    def __init__(self, record, ip, service, instance, work, slots=100):
        self.record = record
        self.service = service
        self.instance = instance
        self.work = work
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        # Time after which a request is read from its connection.
        self.read_delay_s = 0.0
        # Whether it is full: it rejects each request.
        self.full = False
        self.leaving = False
        self.beats = None
        self.beat_task = None
        self.http = HttpServer(ip, self._serve)

    async def open(self):
        await self.http.open()

    async def _serve(self, request):
        if self.read_delay_s:
            await asyncio.sleep(self.read_delay_s)
        load = f"{self.running},0,{self.slots}"
        common = [("Instance-Id", self.instance), ("Server-Load", load)]
        if self.leaving:
            common.append(("Server-Leaving", "1"))
        if request.target == "/health":
            return (503 if self.leaving else 200), common, b""
        if request.id is None:
            return 400, common + [("Not-Run", "1")], b""
        common.append(("Request-Id", request.id))
        if request.headers.get("expect-instance", self.instance) != self.instance:
            self.record.write("misdirected", upstream=self.instance, id=request.id)
            return 421, common, b""
        if self.full:
            self.record.write("rejected", upstream=self.instance, id=request.id)
            return 503, common + [("Not-Run", "1")], b""
        self.record.write("runs", upstream=self.instance, id=request.id, target=request.target)
        self.running += 1
        try:
            answer = await self.work(self, request)
        finally:
            self.running -= 1
        if answer is None:
            return None
        status, headers, body = answer
        stamp = [("Server-Stamp", f"{self.instance}.{request.id}")]
        return status, common + stamp + headers, body

    def beat(self, state, sequence=None):
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        return json.dumps({
            "service": self.service, "address": self.http.address, "zone": "zone-a",
            "version": "v1", "capacity": self.slots, "state": state, "warmup_left_s": 0,
            "sequence": sequence, "born": self.born}).encode()

    async def send_beat(self, address, body):
        return await post(address, f"/api/Instances.Heartbeat/{self.instance}", body)

    def start_beats(self, address):
        async def run():
            while True:
                try:
                    await self.send_beat(address, self.beat("ready"))
                except (OSError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(HEARTBEAT_S)
        self.beat_task = asyncio.create_task(run())

    def stop_beats(self):
        if self.beat_task is not None:
            self.beat_task.cancel()
            self.beat_task = None


def split_address(address):
    ip, _, port = address.rpartition(":")
    return ip, int(port)


async def post(address, target, body, timeout=1.0):
    """Sends one request as the platform or an upstream does; returns the status."""
    async def run():
        reader, writer = await asyncio.open_connection(*split_address(address))
        try:
            writer.write((f"POST {target} HTTP/1.1\r\nHost: {address}\r\n"
                          f"Content-Type: application/json\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            head = await read_head(reader)
            return 0 if head is None else int(head[0].split(" ")[1])
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


async def read_answer(reader):
    """Returns status, fields and body of an answer; None if the connection ends before its end."""
    head = await read_head(reader)
    if head is None:
        return None
    status = int(head[0].split(" ")[1])
    length = int(head[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return status, head[1], body


def format_call(method, target, request_id, deadline_ms, host="h.example", key=None, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"Request-Id: {request_id}",
             f"Deadline-Ms: {deadline_ms}"]
    if key is not None:
        lines.append(f"Key: {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call_once(address, **call):
    """One request on a connection of its own; returns the answer or None."""
    timeout = call["deadline_ms"] / 1000.0 + 2.0

    async def run():
        reader, writer = await asyncio.open_connection(*split_address(address), limit=1 << 24)
        try:
            writer.write(format_call(**call))
            return await read_answer(reader)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (asyncio.TimeoutError, OSError):
        return None


class Machine:
    """A machine of the platform: the daemon's settings and its process."""

    def __init__(self, folder, name, ip, zone, service, backend, store, first_port,
                 memory_mb=260, quota=False):
        self.name = name
        self.ip = ip
        self.folder = folder
        self.memory_mb = memory_mb
        at = lambda offset: f"{ip}:{first_port + offset}"
        self.callers, self.ready, self.control = at(2), at(3), at(4)
        lines = [f'name: "{name}"', f'data_centre: "{zone}"', 'region: "r"',
                 f'service: "{service}"', "threads: 1", f"memory_mb: {memory_mb}",
                 f'own_ip: "{ip}"', f'backend_address: "{backend}"',
                 f'callers_listen: "{self.callers}"', f'ready_listen: "{self.ready}"',
                 f'reports_listen: "{self.control}"', f"first_port: {first_port}",
                 f'store_address: "{store}"', f"report_period_s: {HEARTBEAT_S}",
                 "stop_time_s: 6"]
        if quota:
            lines += ["rate_limit_window_s: 5", "rate_limit_tolerance: 0.1",
                      "rate_limit_slack: 20"]
        self.settings = os.path.join(folder, name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        self.process = None

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "ACACIASILL_NODE_FILE": self.settings}
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=log,
                                        stderr=log)
        log.close()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*split_address(self.ready))
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} is not ready")


class CouldNotRun(Exception):
    pass


def find_ports(ips, count=8):
    """Returns the first of `count` consecutive ports that are free at all addresses."""
    base = 21000 + os.getpid() % 800 * 10
    for first in list(range(base, 30000, 10)) + list(range(21000, base, 10)):
        sockets = []
        try:
            for ip in ips:
                for port in range(first, first + count):
                    sock = socket.socket()
                    sockets.append(sock)
                    sock.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CouldNotRun("no free ports")


def route(prefix, service, kind="idempotent", timeout_s=2.0, attempts=2, **more):
    return {"host": "h.example", "prefix": prefix, "kind": kind, "timeout_s": timeout_s,
            "target_latency_s": 1, "priority": 1, "service": service, "attempts": attempts, **more}


def configuration(version, routes, services, tenants=None, max_body_bytes=67108864):
    result = {"version": f"{version:08x}", "routes": routes,
              "services": {name: {"health_path": "/health", "max_conns": 560, "protocol": "h1",
                                  "tls": False} for name in services},
              "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                         "header_timeout_s": 3, "idle_timeout_s": 15}}
    if tenants is not None:
        result["tenants"] = tenants
    return json.dumps(result).encode()


async def finish(tasks, timeout=None):
    """Waits for tasks, of which there may be none."""
    tasks = set(tasks)
    if tasks:
        await asyncio.wait(tasks, timeout=timeout)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, case):
    """Runs `case(record, temporary_folder, machines)` and exits with its result."""
    record = Record(os.path.join(folder, "record.txt"))
    temporary = tempfile.mkdtemp(prefix="review-")
    machines = []
    result = COULD_NOT_RUN
    # So that the processes below are ended too.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(COULD_NOT_RUN))
    try:
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            raise CouldNotRun("the program is not built")
        loop = asyncio.new_event_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        result = loop.run_until_complete(
            asyncio.wait_for(case(record, temporary, machines), 110))
    except Exception as error:  # Whatever fails here is no verdict on the rule.
        record.write("could-not-run", reason=repr(error))
        print(f"could not run: {error!r}")
    finally:
        for machine in machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
        record.write("result", exit=result)
        record.close()
        sys.stdout.flush()
    # Tasks that still wait are given up without their tracebacks.
    os._exit(result)
