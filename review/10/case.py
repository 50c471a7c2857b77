"""Two machines of a zone are partitioned from the store when the configuration changes."""

import asyncio
import json
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))
from deployment import (BROKEN, CANNOT_RUN, HELD, Deployment, Upstream, configuration,  # noqa: E402
                        exchange, format_request, now, route, run_case, trouble)

CUT_S = 5.5
KEEP_ALIVE_INTERVAL_S = 1.0  # the daemons probe a connection at rest this often (TCP keep-alive)
UNANSWERED_PROBES = 2
CHANGE_AFTER_CUT_S = 0.1
USUAL_INTERVAL_S, CHECK_INTERVAL_S = 2.5, 0.05
DEADLINE_MS = 5000
HOST, PREFIX = "hulo84.example", "/leny950/"
OLD_SERVICE, NEW_SERVICE = "huvo11a", "lovo22d"


class Relay:
    """The path of one machine to the store, which can be cut like a partition: nothing passes, and
    no end is told. A real partition leaves the daemon's probes of TCP keep-alive unanswered; on
    loopback the relay's kernel answers them. So the relay ends each connection at the moment at
    which the probes would have. New connections hang, since a full accept queue drops them."""

    def __init__(self, store):
        self.store, self.cut = store, False
        self.last_data = {}  # by connection: time of the last data

    async def start(self, ip, port):
        self.address = (ip, port)
        self.server = await asyncio.start_server(self.serve, ip, port)

    def drop_new_connections(self):
        """Replaces the listening socket by one with a full accept queue; returns what holds it."""
        self.server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(0)
        held = [listener]
        for _ in range(4):
            held.append(socket.socket())
            held[-1].setblocking(False)
            held[-1].connect_ex(self.address)
        return held

    async def serve(self, reader, writer):
        self.last_data[writer] = now()
        try:
            inner_reader, inner_writer = await asyncio.open_connection(self.store.ip,
                                                                       self.store.port)
            await asyncio.gather(self.copy(reader, inner_writer, writer),
                                 self.copy(inner_reader, writer, writer))
            inner_writer.close()
        except OSError:
            pass
        finally:
            self.last_data.pop(writer, None)
            writer.close()

    async def copy(self, reader, writer, connection):
        while part := await reader.read(65536):
            while self.cut:
                await asyncio.sleep(0.02)
            self.last_data[connection] = now()
            writer.write(part)
        writer.close()

    async def partition(self, seconds):
        self.cut = True
        began = now()
        held = self.drop_new_connections()
        for writer, last in list(self.last_data.items()):
            answered = (began - last) // KEEP_ALIVE_INTERVAL_S
            first_unanswered = last + (answered + 1) * KEEP_ALIVE_INTERVAL_S
            end = first_unanswered + UNANSWERED_PROBES * KEEP_ALIVE_INTERVAL_S
            asyncio.get_running_loop().call_later(end - began, writer.transport.abort)
        await asyncio.sleep(seconds)
        for each in held:
            each.close()
        self.cut = False
        await self.start(*self.address)


def find_follower(deployment):
    """Returns a machine that reads the copies of two others, and these two, from the logs."""
    for machine in deployment.machines:
        replicas = []
        for line in deployment.log_of(machine).splitlines():
            if '"reads copies of other daemons"' in line or '"reads the store"' in line:
                replicas = json.loads(line).get("replicas", "").split()
        readers = [each for each in deployment.machines
                   if any(address.startswith(each.ip + ":") for address in replicas)]
        if len(readers) == 2:
            return machine, readers
    return None, []


async def send(deployment, machine, number, ran):
    identity = f"r{number}"
    sent = now()
    answer = await exchange(machine.ip, machine.ports["outbound"], format_request(
        "GET", f"{PREFIX}{number:x}", [("Host", HOST), ("Request-Id", identity),
                                      ("Deadline-Ms", str(DEADLINE_MS))]), DEADLINE_MS / 1000)
    status = answer.status if answer else "closed"
    deployment.record.write("client got", id=identity, sent=f"{sent:.3f}", status=status,
                            ran_by=ran.get(identity))
    return sent, ran.get(identity)


async def main(folder):
    deployment = Deployment(folder, "127.70.0")
    record, ran = deployment.record, {}

    def work(upstream, request):
        ran[request.field("Request-Id")] = upstream.machine.service
        return 0.02, b"listing"

    try:
        for zone in ("z-a", "z-b", "z-c"):
            for number, service in enumerate((OLD_SERVICE, OLD_SERVICE, NEW_SERVICE), 1):
                deployment.add(f"sidecar-{zone}-{number}", zone, service)
        await deployment.start_store()
        relays = {}
        for machine in deployment.machines:
            relays[machine.name] = Relay(deployment.store)
            machine.store = (machine.ip, deployment.base + 7)
            await relays[machine.name].start(*machine.store)
            await Upstream(machine, 108, work, record).start()
            deployment.start_daemon(machine)
        services = [OLD_SERVICE, NEW_SERVICE]
        routes = {"r-1": route(HOST, PREFIX, "idempotent", OLD_SERVICE, 5.0)}
        deployment.store.publish(configuration(1, routes, services))
        await deployment.wait_ready()
        await asyncio.sleep(10.0)
        follower, readers = find_follower(deployment)
        if follower is None:
            print("no machine reads the copies of two others")
            return CANNOT_RUN
        record.write("roles", follower=follower.name, readers="+".join(m.name for m in readers))
        number = 0
        for _ in range(4):
            await asyncio.sleep(USUAL_INTERVAL_S)
            number += 1
            await send(deployment, follower, number, ran)
        if trouble():
            for machine in readers:
                record.write("cut from the store", machine=machine.name, for_s=CUT_S)
                asyncio.create_task(relays[machine.name].partition(CUT_S))
        await asyncio.sleep(CHANGE_AFTER_CUT_S)
        routes["r-1"]["service"] = NEW_SERVICE
        acknowledged = deployment.store.publish(configuration(2, routes, services))
        bound = acknowledged + deployment.bounds["config_apply_s"]
        late, checked = [], 0
        # The next request would come 2.5 s after the last one, that is after the bound.
        await asyncio.sleep(bound + 0.05 - now())
        while now() < acknowledged + CUT_S + 2:
            number += 1
            sent, service = await send(deployment, follower, number, ran)
            checked += 1
            if service == OLD_SERVICE:
                late.append(sent - acknowledged)
            await asyncio.sleep(CHECK_INTERVAL_S)
        print(f"{len(late)} of {checked} requests sent later than config_apply_s were run by the old "
              f"service" + (f", the last one {late[-1]:.2f} s after the acknowledgement" if late else ""))
        return BROKEN if late else HELD
    finally:
        deployment.stop()


run_case(FOLDER, main)
