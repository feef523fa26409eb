"""Starts a wigeonwall cluster of local processes and stand-ins.

Used by scripts/demo and scripts/measure. All processes listen on loopback and
are stopped by stop().
"""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

DOMAINS = {
    "permit-desk": ["joburg-north", "joburg-south", "pretoria-east", "midrand"],
    "planting-dispatch": ["upper-reach", "mill-reach", "lower-reach"],
}
# One-way delay between failure domains, in microseconds (docs/design.md, 1.1).
DOMAIN_DELAY_US = {"permit-desk": 1000, "planting-dispatch": 1500}
START_TIMEOUT_S = 30
PORT_RANGE = (10000, 32000)
ALLOCATED_PORTS = set()
STOP_TIMEOUT_S = 40


def free_ports(count):
    """Returns ports that were free when checked.

    They are below the default ephemeral port range (32768 and above).
    Otherwise an outgoing connection could take a port before its process
    has started.
    """
    ports = []
    while len(ports) < count:
        port = random.randint(*PORT_RANGE)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ALLOCATED_PORTS:
            ALLOCATED_PORTS.add(port)
            ports.append(port)
    return ports


def fetch(address, path, method="GET", body=None, timeout=5):
    """Returns the body of an HTTP response; raises for status 400 and above."""
    request = urllib.request.Request(
        f"http://{address}{path}", method=method, data=body)
    with urllib.request.urlopen(request, timeout=timeout) as reply:
        return reply.read().decode()

METRICS_PREFIX = "wigeonwall_"


class Cluster:
    """Entries, agents with their minions, and the key-value service.

    If delay_us is set, a relay forwards the control and the traffic port of
    each process and delays each direction. It delays all pairs, including
    those in one failure domain, which is pessimistic: with four domains a quarter
    of the messages would not be delayed. Each process has its own relay,
    which is killed with it, so that connections to a killed process are
    refused as they would be without the relay. Minions and the key-value service are
    reached directly.
    """

    def __init__(self, build, service, agents, entries, agent_keys=None,
                 slots=8, connections=64, entry_threads=1, delay_us=0):
        self.build = build
        self.service = service
        self.slots = slots
        self.directory = tempfile.mkdtemp(prefix="wigeonwall-")
        self.processes = {}
        self.store = f"127.0.0.1:{free_ports(1)[0]}"
        self.agent_keys = agent_keys or {}
        self.connections = connections
        self.entry_threads = entry_threads
        self.delay_us = delay_us
        self.agents = [self._describe("agent", i, 4) for i in range(agents)]
        self.entries = [self._describe("entry", i, 4) for i in range(entries)]

    def _describe(self, role, number, ports):
        domains = DOMAINS[self.service]
        addresses = [f"127.0.0.1:{port}" for port in free_ports(ports + 2)]
        relayed = 4 if self.delay_us else 0
        return {
            "control_announce": addresses[relayed],
            "traffic_announce": addresses[relayed + 1],
            "id": f"{role}-{number}", "role": role,
            "domain": domains[number % len(domains)],
            "control": addresses[0], "traffic": addresses[1],
            "admin": addresses[2], "other": addresses[3],
        }

    def path(self, name):
        return os.path.join(self.directory, name)

    def spawn(self, name, command):
        log = open(self.path(name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def write_settings(self, node):
        seeds = [each["control_announce"] for each in self.entries]
        lines = [
            "[process]", f"id = {node['id']}", f"role = {node['role']}",
            f"failure_domain = {node['domain']}",
            f"control_listen = {node['control']}",
            f"traffic_listen = {node['traffic']}",
            f"control_announce = {node['control_announce']}",
            f"traffic_announce = {node['traffic_announce']}",
            f"admin_listen = {node['admin']}",
            f"seeds = {', '.join(seeds)}", f"store = {self.store}",
        ]
        if node["role"] == "entry":
            lines += ["[entry]", f"callers_listen = {node['other']}",
                      "max_connections = 20000",
                      f"traffic_threads = {self.entry_threads}"]
        else:
            lines += ["[agent]", f"service = {self.service}",
                      f"minion = {node['other']}", f"slots = {self.slots}",
                      f"connections = {self.connections}"]
            lines += [f"{key} = {value}"
                      for key, value in self.agent_keys.items()]
        path = self.path(node["id"] + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start_relay(self, node):
        command = [f"{self.build}/tests/standin_relay"]
        for port in ("control", "traffic"):
            command.append(f"--map={node[port + '_announce']}={node[port]}"
                           f"={self.delay_us}")
        self.spawn("relay-" + node["id"], command)

    def start_node(self, node):
        if self.delay_us:
            self.start_relay(node)
        self.spawn(node["id"], [f"{self.build}/apps/wigeonwall/wigeonwall",
                                f"--settings={self.write_settings(node)}"])

    def start_minion(self, node):
        self.spawn("minion-" + node["id"], [
            f"{self.build}/tests/standin_minion", f"--listen={node['other']}",
            f"--start-log={self.path(node['id'] + '.starts')}"])

    def start(self, config):
        """Starts everything and waits until every entry and agent is ready."""
        self.spawn("store", [f"{self.build}/tests/standin_key_value",
                             f"--listen={self.store}"])
        self.apply(config)
        for node in self.agents:
            self.start_minion(node)
        for node in self.entries + self.agents:
            self.start_node(node)
        self.wait_ready()

    def apply(self, config):
        deadline = time.time() + START_TIMEOUT_S
        command = [f"{self.build}/apps/wigeonwallctl/wigeonwallctl", "config",
                   "apply", config, "--store", self.store]
        while True:
            result = subprocess.run(command, capture_output=True, text=True,
                                    check=False)
            if result.returncode == 0:
                return
            if time.time() > deadline:
                raise RuntimeError("config apply: " + result.stderr)
            time.sleep(0.1)

    def status(self, node):
        return json.loads(fetch(node["admin"], "/status"))

    def wait_ready(self):
        """Waits until every process sees all agents alive and in the map."""
        deadline = time.time() + START_TIMEOUT_S
        waiting = self.entries + self.agents
        while waiting:
            waiting = [node for node in waiting if not self._ready(node)]
            if time.time() > deadline:
                raise RuntimeError("not ready: " +
                                   ", ".join(each["id"] for each in waiting))
            if waiting:
                time.sleep(0.1)

    def _ready(self, node):
        try:
            view = self.status(node)
        except OSError:
            return False
        alive = [each for each in view["members"] if each["state"] == "alive"]
        present = view.get("map_agents", len(self.agents))
        return (view["ready"] and present == len(self.agents)
                and len(alive) == len(self.agents) + len(self.entries))

    def metrics(self, node):
        """Returns the counters of a process by series name, without the
        common name prefix."""
        result = {}
        for line in fetch(node["admin"], "/metrics").splitlines():
            series, value = line.rsplit(" ", 1)
            if not series.startswith(METRICS_PREFIX):
                raise KeyError(f"{series}: missing prefix {METRICS_PREFIX}")
            result[series.removeprefix(METRICS_PREFIX)] = float(value)
        return result

    def starts(self):
        """Returns the number of starts by "SERVICE JOB TASK"."""
        counts = {}
        for node in self.agents:
            path = self.path(node["id"] + ".starts")
            if not os.path.exists(path):
                continue
            with open(path, encoding="utf-8") as file:
                for line in file:
                    counts[line.strip()] = counts.get(line.strip(), 0) + 1
        return counts

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL and "relay-" + name in self.processes:
            self.processes["relay-" + name].send_signal(number)

    def stop(self):
        """Stops all processes; returns the exit codes of entries and agents."""
        nodes = [each["id"] for each in self.entries + self.agents]
        for name in nodes:
            if name in self.processes:
                self.processes[name].terminate()
        codes = {}
        for name in nodes:
            if name in self.processes:
                codes[name] = self._wait(name)
        for name, process in self.processes.items():
            if name not in nodes:
                process.terminate()
                self._wait(name)
        return codes

    def _wait(self, name):
        process = self.processes[name]
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()
