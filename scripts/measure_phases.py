"""Phases of scripts/measure: each runs one cluster and returns values by key.

wasted_message_share is (W / M) over the run at 70% load, where M is the sum of
messages_sent_total and W is the sum of
- task starts that were refused (task_refusals_total) or repeated
  (task_start_resends_total), each counted as a message of its own although
  a message carries many;
- results that belong to no running job (task_results_ignored_total);
- submissions that a home refused (job_submits_refused_total);
- cancels that removed nothing (task_cancels_empty_total);
- all record.seal, job.status, membership.* and document.* messages, although
  some of them are needed.
So the share is an upper bound.
"""

import json
import os
import subprocess
import sys
import tempfile
import time

from cluster import DOMAIN_DELAY_US, Cluster, fetch

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = f"{ROOT}/build"
AGENTS = 11
ENTRIES = 3
SLOTS = 8
CONNECTIONS = 64
RESUBMIT_PROBABILITY = 0.3
FLOOD_CAPACITY_FACTOR = 5
# Least and most urgent kind of each configuration in examples/.
FLOOD_KINDS = {
    "permit-desk": ("fire-clearance-review", "label-lookup"),
    "planting-dispatch": ("clearance-check", "permit-confirmation"),
}
WASTED_COUNTERS = ("task_refusals_total", "task_start_resends_total",
                   "task_results_ignored_total", "job_submits_refused_total",
                   "task_cancels_empty_total")
WASTED_METHODS = ("record.seal", "job.status", "membership.", "document.")
CONTROL_METHODS = ("membership.", "document.")
CONFIG_TIMEOUT_S = 15
KILL_AT_S = 7
KILL_WINDOW_S = 5
DRAIN_AT_S = 13
KILL_RUN_S = 17
# The first seconds of a run complete fewer jobs than they send.
RAMP_S = 2
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def needs(arguments, *keys):
    return any(key.startswith(prefix) for key in arguments.only
               for prefix in keys)


def sum_of(metrics, name, labels=("",)):
    """Sums a counter over processes; raises KeyError if none has it."""
    found = [(series, value) for each in metrics
             for series, value in each.items() if series.split("{")[0] == name]
    if not found:
        raise KeyError(f"no process has the counter {name}")
    return sum(value for series, value in found
               if any(label in series for label in labels))


class System:
    """A running cluster and the load runs against it."""

    def __init__(self, service, agent_keys, delay_us, config):
        self.cluster = Cluster(BUILD, service, AGENTS, ENTRIES, agent_keys,
                               SLOTS, CONNECTIONS, delay_us=delay_us)
        self.service = service
        self.runs = []
        self.not_run_files = []
        try:
            self.cluster.start(config)
        except Exception:
            self.cluster.stop()
            raise

    def nodes(self):
        return self.cluster.entries + self.cluster.agents

    def metrics(self):
        result = []
        for node in self.nodes():
            if self.cluster.processes[node["id"]].poll() is None:
                result.append(self.cluster.metrics(node))
        return result

    def begin_load(self, *options):
        name = f"load-{len(self.not_run_files)}"
        path = self.cluster.path(name + ".json")
        not_run = self.cluster.path(name + ".not-run")
        self.not_run_files.append(not_run)
        command = [f"{BUILD}/apps/wigeonwallctl/wigeonwallctl", "load",
                   "--json", path, "--not-run", not_run,
                   "--slots", str(AGENTS * SLOTS), "--connections", "3000"]
        for entry in self.cluster.entries:
            command += ["--entry", entry["other"]]
        command += [str(option) for option in options]
        log = open(self.cluster.path(name + ".log"), "wb")
        return subprocess.Popen(command, stdout=log, stderr=log), path

    def end_load(self, running):
        process, path = running
        process.wait()
        with open(path, encoding="utf-8") as file:
            figures = json.load(file)
        self.runs.append(figures)
        return figures

    def load(self, *options):
        return self.end_load(self.begin_load(*options))

    def correctness(self):
        """Counts of incorrect results over all runs so far."""
        starts = self.cluster.starts()
        jobs = {tuple(line.split(" ")[:2]) for line in starts}
        false_not_run = 0
        for path in self.not_run_files:
            with open(path, encoding="utf-8") as file:
                false_not_run += sum(
                    tuple(line.strip().split(" ")) in jobs for line in file)
        overall = [run["overall"] for run in self.runs]
        return {
            "duplicate_starts": sum(n - 1 for n in starts.values()),
            "partial_answers": sum(each["partial"] for each in overall),
            "crossed_answers": sum(each["crossed"] + each["contradicted"] +
                                   each["invalid"] for each in overall),
            "false_not_run": false_not_run,
        }


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def rss_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0


def control_bytes(metrics):
    names = ("message_bytes_sent_total", "message_bytes_received_total")
    return sum(sum_of([metrics], name, CONTROL_METHODS) for name in names)


def measure_idle(system, seconds):
    """Control-plane cost of idle processes; bytes count bodies without headers."""
    processes = [system.cluster.processes[node["id"]]
                 for node in system.nodes()]
    before = system.metrics()
    cpu = [cpu_seconds(each) for each in processes]
    started = time.time()
    time.sleep(seconds)
    passed = time.time() - started
    cpu = [cpu_seconds(each) - old for each, old in zip(processes, cpu)]
    after = system.metrics()
    calls = sum_of(after, "store_calls_total") - sum_of(before,
                                                        "store_calls_total")
    traffic = [control_bytes(new) - control_bytes(old)
               for new, old in zip(after, before)]
    return {
        "store_calls_per_second": calls / passed,
        "control_cpu_percent": 100 * max(cpu) / passed,
        "control_bytes_per_second": max(traffic) / passed,
        "control_rss_mb": max(rss_mb(each) for each in processes),
    }


def changed_config(system, path, number):
    """Writes the document with changed queue limits; returns its path."""
    with open(path, encoding="utf-8") as file:
        document = json.load(file)
    for kind in document["services"][0]["kinds"]:
        kind["queue_limit"] += number
    changed = system.cluster.path(f"config-{number}.json")
    with open(changed, "w", encoding="utf-8") as file:
        json.dump(document, file)
    return changed


def measure_config(system, path, changes):
    """p99 over all processes from the start of the apply to the new version;
    the polls of all processes take some 30 ms."""
    samples = []
    for number in range(1, changes + 1):
        changed = changed_config(system, path, number)
        version = max(each["config_version"] for each in system.metrics())
        started = time.time()
        system.cluster.apply(changed)
        waiting = system.nodes()
        while waiting and time.time() - started < CONFIG_TIMEOUT_S:
            left = [node for node in waiting if system.cluster.metrics(
                node)["config_version"] <= version]
            samples += [time.time() - started] * (len(waiting) - len(left))
            waiting = left
        samples += [CONFIG_TIMEOUT_S] * len(waiting)
    system.cluster.apply(path)
    samples.sort()
    return {"config_in_force_ms_p99":
            1e3 * samples[int(0.99 * (len(samples) - 1))]}


def wasted_share(before, after):
    def growth(name, labels=("",)):
        return sum_of(after, name, labels) - sum_of(before, name, labels)
    wasted = (sum(growth(name) for name in WASTED_COUNTERS)
              + growth("messages_sent_total", WASTED_METHODS))
    return wasted / max(1, growth("messages_sent_total"))


def flood_figures(name, base, flooded, kind):
    """Returns the lowest share of kept throughput and the highest p99 growth of
    the other kinds."""
    others = [each for each in base["kinds"] if each != kind]
    kept, growth = [], []
    for each in others:
        old, new = base["kinds"][each], flooded["kinds"][each]
        kept.append(new["complete"] / max(1, old["complete"]))
        growth.append(new["latency_ms"]["p99"] /
                      max(1e-9, old["latency_ms"]["p99"]))
    return {f"flood_{name}_kept_throughput": min(kept),
            f"flood_{name}_p99_growth": max(growth)}


def wait_last_start(system, node, since):
    """Milliseconds from `since` to the last start at the node's minion."""
    path = system.cluster.path(node["id"] + ".starts")
    size, last = os.path.getsize(path), since
    end = since + 3
    while time.time() < end:
        time.sleep(0.01)
        new = os.path.getsize(path)
        if new != size:
            size, last = new, time.time()
    return 1e3 * (last - since)


def measure_losses(system, options):
    """Kills one agent, later drains another, at 70% load."""
    victim, drained = system.cluster.agents[0], system.cluster.agents[1]
    running = system.begin_load(*options, "--load", 0.7,
                                "--duration", KILL_RUN_S)
    started = time.time()
    time.sleep(KILL_AT_S)
    system.cluster.kill(victim["id"])
    time.sleep(max(0, started + DRAIN_AT_S - time.time()))
    since = time.time()
    fetch(drained["admin"], "/drain", "POST", b"")
    last_start = wait_last_start(system, drained, since)
    rows = {row["second"]: row["complete"]
            for row in system.end_load(running)["timeline"]}
    before = [rows.get(i, 0) for i in range(RAMP_S, KILL_AT_S)]
    after = [rows.get(i, 0)
             for i in range(KILL_AT_S, KILL_AT_S + KILL_WINDOW_S)]
    return {"kept_after_kill": (sum(after) / len(after)) /
                               max(1e-9, sum(before) / len(before)),
            "drain_stop_new_work_ms": last_start}


def measure_loads(system, arguments, options):
    figures = {}
    seconds = options[options.index("--duration") + 1]
    before = system.metrics()
    base = system.load(*options, "--load", 0.7)
    figures["wasted_message_share"] = wasted_share(before, system.metrics())
    for percent in ("p50", "p99"):
        figures[f"response_ratio_{percent}_load70"] = \
            base["overall"]["response_ratio"][percent]
    if needs(arguments, "response_ratio_p99_load90"):
        run = system.load(*options, "--load", 0.9)
        figures["response_ratio_p99_load90"] = \
            run["overall"]["response_ratio"]["p99"]
    for name, kind in zip(("low", "high"), FLOOD_KINDS[system.service]):
        if not needs(arguments, f"flood_{name}"):
            continue
        factor = FLOOD_CAPACITY_FACTOR / base["kinds"][kind]["offered_load"]
        flooded = system.load(*options, "--load", 0.7, "--flood",
                              f"{kind}:{factor:.3f}", "--flood-duration",
                              seconds)
        figures.update(flood_figures(name, base, flooded, kind))
    return figures


def measure_deployment(service, agent_keys, arguments):
    """Returns all values of one deployment with its delays."""
    if not needs(arguments, "response", "flood", "wasted", "kept", "config",
                 "drain", "store", "control", "duplicate", "partial",
                 "crossed", "false"):
        return {}
    print(f"{service} {agent_keys or 'default policies'}", file=sys.stderr,
          flush=True)
    path = f"{ROOT}/examples/{service}.json"
    seconds = 5 if arguments.quick else 12
    options = ("--profile", service, "--seed", arguments.seed,
               "--resubmit-probability", RESUBMIT_PROBABILITY)
    figures = {}
    system = System(service, agent_keys, DOMAIN_DELAY_US[service], path)
    try:
        if needs(arguments, "store", "control"):
            figures.update(measure_idle(system, 3 if arguments.quick else 8))
        if needs(arguments, "config"):
            figures.update(measure_config(system, path,
                                          3 if arguments.quick else 8))
        if needs(arguments, "response", "flood", "wasted"):
            figures.update(measure_loads(
                system, arguments, options + ("--duration", seconds)))
        if needs(arguments, "kept", "drain"):
            figures.update(measure_losses(system, options))
        figures.update(system.correctness())
    finally:
        system.cluster.stop()
    return {key: value for key, value in figures.items()
            if key in arguments.only}


def open_config(directory):
    """Writes permit-desk with limits that jobs of empty tasks do not reach."""
    with open(f"{ROOT}/examples/permit-desk.json", encoding="utf-8") as file:
        document = json.load(file)
    for kind in document["services"][0]["kinds"]:
        kind["queue_limit"] = 10000
    for team in document["teams"]:
        team["max_tasks_in_flight"] = 100000
    path = os.path.join(directory, "wigeonwall-open.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(document, file)
    return path


def measure_cost(agent_keys, arguments):
    """Cost of dispatching empty tasks, without any delay."""
    if not needs(arguments, "dispatch_overhead", "task_starts"):
        return {}
    print(f"empty tasks {agent_keys or 'default policies'}", file=sys.stderr,
          flush=True)
    seconds = 4 if arguments.quick else 8
    options = ("--seed", arguments.seed, "--client-delay-ms", 0,
               "--duration", seconds)
    system = System("permit-desk", agent_keys, 0, open_config(tempfile.gettempdir()))
    try:
        one = system.load(*options, "--profile", "empty-task",
                          "--in-flight", 1)
        many = system.load(*options, "--profile", "empty-tasks",
                           "--in-flight", 24)
        figures = {
            "dispatch_overhead_ms_p50": one["overall"]["latency_ms"]["p50"],
            "task_starts_per_second":
                170 * many["overall"]["complete"] / seconds,
        }
        figures.update(system.correctness())
    finally:
        system.cluster.stop()
    return {key: value for key, value in figures.items()
            if key in arguments.only}
