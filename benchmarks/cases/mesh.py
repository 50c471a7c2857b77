"""A mesh of daemon processes with stand-in backend servers on loopback."""

import json
import os

from .processes import CaseError, free_port, http, http_json, wait_for

PEER_KEY = "benchmark-key-for-loopback"
READY_SECONDS = 20

PRIORITIES = {"important": 0, "normal": 2, "bulk": 5}


class Service:
    """A service: the settings and the number of its backend servers."""

    def __init__(self, name, upstreams=2, slots=10, service_time_ms=0.0, calls=(), **standin):
        self.name = name
        self.upstreams = upstreams
        self.slots = slots
        self.service_time_ms = service_time_ms
        self.calls = list(calls)
        self.standin = standin

    def capacity(self):
        """Calls per second that all backend servers of the service can serve."""
        return self.upstreams * self.slots * 1000.0 / self.service_time_ms


def chain(deep_ms=50.0, deep_slots=10, **deep):
    """A call graph of depth three with fan-out: A calls B and C, and each of these calls D."""
    return [Service("a", 2, 60, 2.0, ["b", "c"], queue_bound=20),
            Service("b", 2, 40, 5.0, ["d"], queue_bound=20),
            Service("c", 2, 40, 5.0, ["d"], queue_bound=20),
            Service("d", 2, deep_slots, deep_ms, queue_bound=deep_slots, **deep)]


# Calls of D per entry request, one through B and one through C.
DEEP_CALLS = 2


def chain_capacity(services):
    """Entry requests per second that the deepest service can serve."""
    return services[-1].capacity() / DEEP_CALLS


def organisations(small_ones=4):
    """One organisation with more weight than all others together, and some small ones."""
    objects = [{"kind": "organisation", "name": "large", "guaranteed_share": 0.5, "weight": 5.0}]
    for number in range(1, small_ones + 1):
        objects.append({"kind": "organisation", "name": f"small-{number}",
                        "guaranteed_share": 0.1, "weight": 1.0})
    return objects


def configuration(services, data_centres=("local",), limits=None, claim=False):
    """The objects of a configuration set for the services."""
    objects = [{"kind": "data_centre", "name": name, "region": "region"} for name in data_centres]
    objects += organisations()
    objects += [{"kind": "priority", "name": name, "rank": rank}
                for name, rank in PRIORITIES.items()]
    objects.append({"kind": "limits", "name": "usual", **(limits or {})})
    objects.append({"kind": "caller_policy", "name": "outside", "may_set_organisation": True,
                    "default_organisation": "large"})
    for service in services:
        objects.append({"kind": "service", "name": service.name, "limits": "usual",
                        "default_priority": "normal", "slots": service.slots,
                        "connections": max(750, 2 * service.slots),
                        "expected_upstreams": service.upstreams, "calls": service.calls})
        for name in PRIORITIES:
            objects.append({"kind": "route", "name": f"{service.name}-{name}",
                            "service": service.name, "path_prefix": f"/{name}",
                            "priority": name, "idempotent": True})
        objects.append({"kind": "route", "name": f"{service.name}-once", "service": service.name,
                        "methods": ["POST"], "path_prefix": "/once", "priority": "important",
                        "idempotent": False, "claim_key": claim})
    return objects


def write_configuration(folder, objects):
    """Writes the set as one file in a folder that acaciactl and daemons can read."""
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "set.yaml"), "w", encoding="utf-8") as out:
        out.write("\n---\n".join(json.dumps(item) for item in objects) + "\n")
    return folder


class Node:
    """A daemon and, if it has one, its stand-in backend server."""

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.ports = {kind: free_port() for kind in ("http", "peer", "gossip")}
        self.service = None
        self.daemon = None
        self.standin = None
        self.standin_address = None

    @property
    def host(self):
        return f"127.0.0.1:{self.ports['http']}"

    @property
    def url(self):
        return f"http://{self.host}"

    @property
    def gossip(self):
        return f"127.0.0.1:{self.ports['gossip']}"

    def status(self):
        return http_json(f"{self.url}/acaciasill/status")

    def counters(self):
        return http_json(f"http://{self.standin_address}/standin/counters")

    def control(self, **faults):
        url = f"http://{self.standin_address}/standin/control"
        if http("POST", url, json.dumps(faults))[0] != 200:
            raise CaseError(f"{url} refused {faults}")

    def lines(self, what):
        """The rows of /standin/requests or /standin/keys, each split into fields."""
        _, text = http("GET", f"http://{self.standin_address}/standin/{what}", timeout=20)
        return [line.split(" ") for line in text.splitlines()]


class Mesh:
    """Daemons that join one mesh; the first three are the seeds of all others."""

    def __init__(self, processes, mode="protect", configuration_dir=None, platform_url=None,
                 threads=2, log_level="warning"):
        self.processes = processes
        self.mode = mode
        self.configuration_dir = configuration_dir
        self.platform_url = platform_url
        self.threads = threads
        self.log_level = log_level
        self.nodes = []

    def daemon_settings(self, node):
        seeds = [other.gossip for other in self.nodes[:3] if other is not node]
        settings = {"name": node.name, "data_centre": node.data_centre, "region": "region",
                    "http_listen": node.host, "peer_listen": f"127.0.0.1:{node.ports['peer']}",
                    "gossip_listen": node.gossip, "seeds": seeds, "mode": self.mode,
                    "threads": self.threads, "peer_key": PEER_KEY, "log_level": self.log_level}
        if self.configuration_dir:
            settings["configuration_dir"] = self.configuration_dir
        if self.platform_url:
            settings["platform_url"] = self.platform_url
        return settings

    def start_daemon(self, node):
        path = self.processes.write_json(f"{node.name}.yaml", self.daemon_settings(node))
        node.daemon = self.processes.start(f"daemon-{node.name}", "acaciasilld", "--config", path)

    def start_standin(self, node, service):
        settings = {"service": service.name, "daemon": node.url, "slots": service.slots,
                    "connections": max(750, 2 * service.slots),
                    "service_time_ms": service.service_time_ms,
                    "calls": [{"service": name, "path": "/normal"} for name in service.calls],
                    **service.standin}
        path = self.processes.write_json(f"{node.name}-standin.yaml", settings)
        node.service = service
        node.standin = self.processes.start(f"standin-{node.name}", "standin-backend",
                                            "--config", path)
        node.standin_address = node.standin.listening_address()

    def add_node(self, name, data_centre="local", service=None):
        node = Node(name, data_centre)
        self.nodes.append(node)
        self.start_daemon(node)
        return node

    def add_services(self, services, data_centre="local", prefix=""):
        """Starts one daemon and one stand-in for each backend server; returns the new nodes."""
        pairs = []
        for service in services:
            for number in range(service.upstreams):
                name = f"{prefix}{service.name}{number + 1}"
                pairs.append((self.add_node(name, data_centre), service))
        for node, _ in pairs:
            self.wait_listening(node)
        for node, service in pairs:
            self.start_standin(node, service)
        return [node for node, _ in pairs]

    def wait_listening(self, node):
        def listens():
            if not node.daemon.running():
                raise CaseError(f"daemon {node.name} ended: {node.daemon.err_tail()}")
            return http("GET", f"{node.url}/healthz", timeout=1)[0] == 200
        wait_for(listens, READY_SECONDS, f"daemon {node.name} listening")

    def nodes_of(self, service_name):
        return [node for node in self.nodes
                if node.service is not None and node.service.name == service_name]

    def wait_ready(self, entries, service_name, path="/normal"):
        """Waits until all daemons are ready and each entry gets six successful answers in a row."""
        for node in self.nodes:
            wait_for(lambda n=node: http("GET", f"{n.url}/readyz", timeout=1)[0] == 200,
                     READY_SECONDS, f"daemon {node.name} ready")
        for node in entries:
            url = f"{node.url}/svc/{service_name}{path}"
            successes = [0]

            def answers():
                successes[0] = successes[0] + 1 if http("GET", url)[0] == 200 else 0
                return successes[0] >= 6
            wait_for(answers, READY_SECONDS, f"six answers in a row from {url}")


def start_platform(processes, name="platform"):
    """Starts the stand-in platform; returns the process and its base URL."""
    process = processes.start(name, "standin-platform")
    return process, f"http://{process.listening_address()}"
