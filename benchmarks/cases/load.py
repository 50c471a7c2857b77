"""Runs the load tool and reads its results."""

import json
import os
import subprocess

from .processes import BIN, CaseError


class Results:
    """The parsed JSON lines of one run."""

    def __init__(self, text):
        rows = [json.loads(line) for line in text.splitlines()]
        self.text = text
        self.classes = [row for row in rows if row["type"] == "class"]
        self.series = [row for row in rows if row["type"] == "series"]
        self.summary = [row for row in rows if row["type"] == "summary"][0]

    def rows(self, phase=None, kind=None):
        return [row for row in self.classes
                if (phase is None or row["phase"] == phase)
                and (kind is None or row["class"] == kind)]

    def total(self, key, phase=None, kind=None):
        return sum(row[key] for row in self.rows(phase, kind))

    def goodput(self, phase, kind=None):
        """Useful whole requests a second of those that were offered in the phase."""
        return self.total("useful", phase, kind) / self.rows(phase)[0]["length_s"]

    def success(self, phase=None, kind=None):
        return self.total("useful", phase, kind) / max(1, self.total("offered", phase, kind))

    def refusals(self, phase=None, kind=None):
        counts = {}
        for row in self.rows(phase, kind):
            for code, count in row["refusals"].items():
                counts[code] = counts.get(code, 0) + count
        return counts


def phase(name, seconds, **rates):
    return {"name": name, "length_ms": int(seconds * 1000),
            "rates": [{"class": kind, "rate": rate} for kind, rate in rates.items()]}


def start_load(processes, name, plan):
    """Starts a plan in the background; finish_load reads its results."""
    path = processes.write_json(f"{name}.plan.yaml", plan)
    output = processes.path(f"{name}.results")
    process = processes.start(f"load-{name}", "acaciasill-load", "run", path, "--output", output)
    return process, output


def finish_load(started, seconds=110):
    process, output = started
    status = process.wait(seconds)
    if status != 0:
        raise CaseError(f"the load tool ended with {status}: {process.err_tail()}")
    with open(output, encoding="utf-8") as text:
        results = Results(text.read())
    keep = os.environ.get("ACS_KEEP_RESULTS")
    if keep:
        os.makedirs(keep, exist_ok=True)
        with open(os.path.join(keep, os.path.basename(output)), "w", encoding="utf-8") as out:
            out.write(results.text)
    return results


def run_load(processes, name, plan):
    return finish_load(start_load(processes, name, plan))


def run_direct(url, seconds, rate=0, connections=32, threads=2, seed=1):
    """One class against one URL; rate 0 is as fast as the connections go."""
    command = [os.path.join(BIN, "acaciasill-load"), "direct", "--url", url,
               "--seconds", str(seconds), "--rate", str(rate), "--connections", str(connections),
               "--threads", str(threads), "--seed", str(seed)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=100, check=False)
    if done.returncode != 0:
        raise CaseError(f"the load tool ended with {done.returncode}: {done.stderr}")
    return Results(done.stdout)
