"""Runs the load tool and parses its results."""

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

    def rows(self, phase=None, class_name=None):
        return [row for row in self.classes
                if (phase is None or row["phase"] == phase)
                and (class_name is None or row["class"] == class_name)]

    def total(self, key, phase=None, class_name=None):
        return sum(row[key] for row in self.rows(phase, class_name))

    def goodput(self, phase, class_name=None):
        """Useful calls per second among the calls offered in the phase."""
        return self.total("useful", phase, class_name) / self.rows(phase)[0]["length_s"]

    def success(self, phase=None, class_name=None):
        return (self.total("useful", phase, class_name)
                / max(1, self.total("offered", phase, class_name)))

    def refusals(self, phase=None, class_name=None):
        counts = {}
        for row in self.rows(phase, class_name):
            for code, count in row["refusals"].items():
                counts[code] = counts.get(code, 0) + count
        return counts


def phase(name, seconds, **rates):
    return {"name": name, "length_ms": int(seconds * 1000),
            "rates": [{"class": kind, "rate": rate} for kind, rate in rates.items()]}


def start_load(processes, name, plan):
    """Starts a plan in the background; finish_load waits for it and reads its results."""
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
    results_folder = os.environ.get("ACS_KEEP_RESULTS")
    if results_folder:
        os.makedirs(results_folder, exist_ok=True)
        with open(os.path.join(results_folder, os.path.basename(output)), "w",
                  encoding="utf-8") as out:
            out.write(results.text)
    return results


def run_load(processes, name, plan):
    return finish_load(start_load(processes, name, plan))


def run_direct(url, seconds, rate=0, connections=32, threads=2, seed=1):
    """Sends one class of calls to one URL; rate 0 runs one closed-loop client per connection."""
    command = [os.path.join(BIN, "acaciasill-load"), "direct", "--url", url,
               "--seconds", str(seconds), "--rate", str(rate), "--connections", str(connections),
               "--threads", str(threads), "--seed", str(seed)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=100, check=False)
    if done.returncode != 0:
        raise CaseError(f"the load tool ended with {done.returncode}: {done.stderr}")
    return Results(done.stdout)
