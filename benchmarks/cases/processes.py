"""Starts the programs of the project on loopback and stops them by process id."""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.environ.get("ACS_BIN", os.path.join(ROOT, "build", "release", "bin"))

# Below the ephemeral port range of the kernel.
FIRST_PORT = 18000
LAST_PORT = 32000
STOP_SECONDS = 5.0


class CaseError(Exception):
    """The case could not be run; the message states the reason."""


_used_ports = set()


def free_port():
    """Returns a port on 127.0.0.1 that is free for TCP and UDP; never the same port twice."""
    source = random.SystemRandom()
    for _ in range(1000):
        port = source.randrange(FIRST_PORT, LAST_PORT)
        if port in _used_ports:
            continue
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                    socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
                _used_ports.add(port)
                return port
        except OSError:
            continue
    raise CaseError("no free port")


def http(method, url, body=None, timeout=3.0, headers=None):
    """Returns (status, text); status 0 means that the connection failed."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode(errors="replace")
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode(errors="replace")
    except (OSError, ValueError):
        return 0, ""


def http_json(url, timeout=3.0):
    """The parsed body, or None if the status is not 200 or the body is not JSON."""
    status, text = http("GET", url, timeout=timeout)
    try:
        return json.loads(text) if status == 200 else None
    except ValueError:
        return None


def wait_for(condition, seconds, what):
    """Waits until the condition holds; returns the seconds waited."""
    begin = time.monotonic()
    while time.monotonic() - begin < seconds:
        if condition():
            return time.monotonic() - begin
        time.sleep(0.02)
    raise CaseError(f"timed out after {seconds} s waiting for: {what}")


class Process:
    """A started program and its output files."""

    def __init__(self, name, command, folder):
        self.name = name
        self.out_path = os.path.join(folder, f"{name}.out")
        self.err_path = os.path.join(folder, f"{name}.err")
        with open(self.out_path, "wb") as out, open(self.err_path, "wb") as err:
            self.popen = subprocess.Popen(command, stdout=out, stderr=err,
                                          stdin=subprocess.DEVNULL)
        self.pid = self.popen.pid

    def running(self):
        return self.popen.poll() is None

    def send(self, number):
        if self.running():
            os.kill(self.pid, number)

    def wait(self, seconds):
        """The exit status, or None if the program still runs."""
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def out(self):
        with open(self.out_path, encoding="utf-8", errors="replace") as text:
            return text.read()

    def err_tail(self, lines=5):
        with open(self.err_path, encoding="utf-8", errors="replace") as text:
            return "".join(text.readlines()[-lines:])

    def listening_address(self):
        """The address that the program printed after "listening on"."""
        def printed():
            if not self.running():
                raise CaseError(f"{self.name} exited at startup: {self.err_tail()}")
            return "listening on " in self.out()
        wait_for(printed, 10, f"{self.name} listening")
        return self.out().split("listening on ")[1].split()[0]

    def cpu_seconds(self):
        """Processor time of all threads of the process, with nanosecond resolution."""
        total = 0
        for thread in os.listdir(f"/proc/{self.pid}/task"):
            with open(f"/proc/{self.pid}/task/{thread}/schedstat", encoding="ascii") as stat:
                total += int(stat.read().split()[0])
        return total / 1e9

    def resident_bytes(self):
        with open(f"/proc/{self.pid}/statm", encoding="ascii") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Processes:
    """All processes of one case, and the folder of their files, which is removed at the end."""

    def __init__(self):
        self.temporary = tempfile.TemporaryDirectory(prefix="acaciasill-bench-")
        self.folder = self.temporary.name
        self.started = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()
        self.temporary.cleanup()

    def path(self, name):
        return os.path.join(self.folder, name)

    def write_json(self, name, value):
        """Writes the value as JSON, which the programs read as YAML."""
        path = self.path(name)
        with open(path, "w", encoding="utf-8") as out:
            json.dump(value, out)
        return path

    def start(self, name, program, *arguments):
        path = os.path.join(BIN, program)
        if not os.path.exists(path):
            raise CaseError(f"{path} is not built")
        process = Process(name, [path, *arguments], self.folder)
        self.started.append(process)
        return process

    def stop_all(self):
        running = [process for process in self.started if process.running()]
        for process in running:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        end = time.monotonic() + STOP_SECONDS
        for process in running:
            if process.wait(max(0.0, end - time.monotonic())) is None:
                process.send(signal.SIGKILL)
                process.wait(STOP_SECONDS)
