"""Three backend servers are lost for good while many callers ask for the same page."""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))
from deployment import (BROKEN, HELD, Deployment, Upstream, configuration, exchange,  # noqa: E402
                        format_request, now, read_message, route, run_case, trouble)

ZONES = ("z-a", "z-b", "z-c")
MACHINES = 22
LOST = 3  # at once, a share of 0.136; the site names 0.14
TERM_AFTER_S = 2.0  # a daemon gets SIGTERM after its upstream has terminated
SLOTS, WORK_S, DEADLINE_MS = 108, 1.5, 5000
HOST = "hulo84.example"
# By kind of request: the requests a second, and the path. The first kind uses the first route, the
# second kind a route that was added later; all its callers ask for the same page.
KINDS = {"catalogue-browse": (60, lambda number: f"/leny950/{number:x}"),
         "price-check": (120, lambda number: "/puka111/list")}
MEASURED_AFTER_S, MEASURED_S = 8.0, 20.0


class Traffic:
    """Open-loop requests at machines that receive clients."""

    def __init__(self, deployment, machines):
        self.deployment, self.machines = deployment, machines
        self.count = 0
        self.ends = []  # (time sent, kind, status)

    async def request(self, kind):
        machine = random.choice(self.machines)
        self.count += 1
        identity, sent = f"r{self.count:06x}", now()
        status = None
        for attempt in range(2):  # one retry, as on the sheets
            answer = await exchange(machine.ip, machine.ports["outbound"], format_request(
                "GET", KINDS[kind][1](self.count), [
                    ("Host", HOST), ("Request-Id", f"{identity}-{attempt}"),
                    ("Deadline-Ms", str(DEADLINE_MS))]), DEADLINE_MS / 1000)
            status = answer.status if answer else "closed"
            if status == 200 or attempt == 1:
                break
            delay = float((answer and answer.field("Retry-After")) or 0.2)
            await asyncio.sleep(min(delay, DEADLINE_MS / 3000))
        self.ends.append((sent, kind, status))
        self.deployment.record.write("client got", id=identity, kind=kind, status=status,
                                     machine=machine.name)

    async def send(self, kind):
        interval = 1 / KINDS[kind][0]
        due = now()
        while True:
            asyncio.ensure_future(self.request(kind))
            due += interval
            await asyncio.sleep(max(0.0, due - now()))

    def served(self, kind, since):
        """Returns the share of the requests since then that were served; of all if kind is None."""
        statuses = [status for sent, name, status in self.ends
                    if sent > since and kind in (None, name)]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))


def work(upstream, request):
    return WORK_S * random.uniform(0.7, 1.3), b"page"


async def lose(deployment, traffic, machine, upstream):
    """The upstream crashes and does not come back; its machine is removed."""
    upstream.crash(back_after=None)
    traffic.machines.remove(machine)
    await asyncio.sleep(TERM_AFTER_S)
    machine.process.send_signal(signal.SIGTERM)
    deployment.record.write("SIGTERM", machine=machine.name)
    await asyncio.sleep(deployment.bounds["grace_s"])
    if machine.process.poll() is None:
        machine.process.kill()


async def main(folder):
    deployment = Deployment(folder, "127.67.0")
    record, upstreams = deployment.record, {}
    try:
        for number in range(MACHINES):
            zone = ZONES[number % len(ZONES)]
            deployment.add(f"sidecar-{zone}-{number // len(ZONES) + 1}", zone, "huvo11a")
        await deployment.start_store()
        for machine in deployment.machines:
            upstreams[machine.name] = Upstream(machine, SLOTS, work, record)
            await upstreams[machine.name].start()
            deployment.start_daemon(machine)
        routes = {"r-1": route(HOST, "/leny950/", "idempotent", "huvo11a", 5.0)}
        deployment.store.publish(configuration(1, routes, ["huvo11a"]))
        await deployment.wait_ready()
        await asyncio.sleep(5.0)
        # The second kind of request uses a route that a later version adds.
        routes["r-2"] = route(HOST, "/puka111/", "idempotent", "huvo11a", 5.0)
        deployment.store.publish(configuration(2, routes, ["huvo11a"]))
        await asyncio.sleep(deployment.bounds["config_apply_s"] + 1)
        traffic = Traffic(deployment, list(deployment.machines))
        senders = [asyncio.create_task(traffic.send(kind)) for kind in KINDS]
        await asyncio.sleep(6.0)
        before = {kind: traffic.served(kind, 0) for kind in (None, *KINDS)}
        for machine in deployment.machines[:LOST]:
            if trouble():
                asyncio.create_task(lose(deployment, traffic, machine, upstreams[machine.name]))
        await asyncio.sleep(MEASURED_AFTER_S)
        since = now()
        await asyncio.sleep(MEASURED_S)
        for sender in senders:
            sender.cancel()
        await asyncio.sleep(2.0)
        after = {kind: traffic.served(kind, since) for kind in (None, *KINDS)}
        text = lambda shares: ", ".join(f"{kind or 'all'} {share:.3f}"
                                        for kind, share in shares.items())
        print(f"served before: {text(before)}; after: {text(after)}")
        first_route, added_route = KINDS
        is_broken = after[added_route] < after[first_route] / 4
        record.write("served", before=text(before).replace(" ", "_"),
                     after=text(after).replace(" ", "_"))
        return BROKEN if is_broken else HELD
    finally:
        deployment.stop()


run_case(FOLDER, main)
