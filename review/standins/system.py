"""A small deployment: the project's programs as separate processes."""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import traceback

from .net import PORTS, Record, call, free_subnet, now
from .platform import Minion, RunWatch, Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ["target/apps/wigeonwall/wigeonwall", "--platform"]
BOUNDS = {"grace_period_s": 6, "resend_ms": 1300, "max_hold_ms": 1000,
          "remote_penalty": 1.5}
HOST = "desk.example"


def fill_in(template, fields):
    """Fills in a settings template as DEPLOY.md tells."""

    def look_up(path):
        value = fields
        for part in path.split("."):
            try:
                value = value[int(part) if part.isdigit() else part]
            except (KeyError, IndexError):
                return ""
        return value

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m[2] if look_up(m[1]) != "" else "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look_up(m[1])), text)


class System:
    def __init__(self, record, entries=1, agents=2):
        self.record = record
        self.directory = tempfile.mkdtemp(prefix="wigeonwall-review-")
        self.prefix = free_subnet()
        self.store = Store(self.host(1), PORTS["store"])
        # Address of the store by name of a process, if not the store's own.
        self.store_for = {}
        self.processes = {}
        self.runs = RunWatch(record)
        self.entries = [f"entry{i + 1}" for i in range(entries)]
        self.agents = [f"agent{i + 1}" for i in range(agents)]
        self.minions = {
            f"agent{i + 1}": Minion(
                f"minion{i + 1}", self.ip(f"agent{i + 1}"), PORTS["app"],
                self.address(f"agent{i + 1}", "control"), record, self.runs)
            for i in range(agents)}

    def host(self, number):
        return self.prefix + str(number)

    def ip(self, node):
        number = int(re.sub(r"\D", "", node))
        return self.host((1 if node.startswith("entry") else 10) + number)

    def address(self, node, port):
        return f"{self.ip(node)}:{PORTS[port]}"

    def start_process(self, node):
        entry = node.startswith("entry")
        fields = {
            "node": node, "zone": "joburg-north", "ip": self.ip(node),
            "internal_ports": [PORTS["peers"], PORTS["peers"] + 15],
            "listen": {key: self.address(node, key)
                       for key in ("frontend", "ready", "control")},
            "platform": {"address": self.store_for.get(node,
                                                       self.store.address)},
            "bounds": BOUNDS}
        template = ROOT / "deploy" / ("entry.ini" if entry else "agent.ini")
        path = os.path.join(self.directory, node + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill_in(template.read_text(), fields))
        with open(os.path.join(self.directory, node + ".log"), "ab") as log:
            self.processes[node] = subprocess.Popen(
                PROGRAM + ["--settings=" + path], cwd=ROOT, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ["PATH"], "HOME": self.directory,
                     "LANG": "C.UTF-8", "WIGEONWALL_CONFIG": path})
        self.record.write(node, "process_started")

    def signal(self, node, number):
        self.record.write(node, "signal", name=signal.Signals(number).name)
        self.processes[node].send_signal(number)

    def configure(self, version, routes):
        """`routes` has rows of name, prefix, and fields beside the usual."""
        rows = [{"name": name, "host": HOST, "prefix": prefix,
                 "kind": "non_idempotent", "timeout_ms": 20000,
                 "target_latency_ms": 60, "priority": 0,
                 "service": "permit-desk", "max_attempts": 3,
                 "slack_factor": 1.6, **fields}
                for name, prefix, fields in routes]
        self.store.put("op/config", json.dumps({
            "version": version, "routes": rows,
            "services": [{"name": "permit-desk", "health_path": "/health",
                          "max_connections": 64, "protocol": "h1",
                          "tls": False, "rejects_overload": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}))
        self.record.write("operator", "config_acknowledged", version=version,
                          prefixes=[row["prefix"] for row in rows])

    async def start(self):
        if not (ROOT / PROGRAM[0]).exists():
            raise RuntimeError("the program is not built: " + PROGRAM[0])
        await self.store.start()

    async def start_all(self):
        for node in self.agents + self.entries:
            self.start_process(node)
        for minion in self.minions.values():
            await minion.begin_life()

    async def request(self, entry, method, target, body=None, deadline=1.5,
                      who="client"):
        """Sends a request of a caller and records it with its answer."""
        self.record.write(who, "sent", entry=entry, request=f"{method} {target}")
        status, answer = await call(
            self.address(entry, "frontend"), method, target,
            {"Host": HOST,
             "Wigeonwall-Deadline-Ms": str(int(deadline * 1000))},
            body, timeout=deadline)
        self.record.write(who, "answered", entry=entry,
                          request=f"{method} {target}", status=status,
                          body=answer)
        return status, answer

    async def wait_ready(self, prefix, timeout=15.0):
        """Waits until each entry serves jobs and each minion has run one."""
        until = now() + timeout
        number = 0
        for entry in self.entries:
            served = False
            while not served or len({name for _, name, _ in self.runs.starts}
                                    ) < len(self.agents):
                if now() > until:
                    raise RuntimeError("the system did not become ready")
                await asyncio.sleep(0.2)
                status, _ = await call(self.address(entry, "ready"), "GET",
                                       "/api/ready", timeout=1.0)
                if status != 200:
                    continue
                number += 1
                status, _ = await self.request(
                    entry, "POST", f"{prefix}{number:016x}",
                    job(2 * len(self.agents), 20, cpu=14000), who="warm-up")
                served = served or status == 200

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.directory, file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def job(count, work_ms, cpu=3000, estimated_ms=None, **step):
    """A job of one step that need not be kept."""
    return {"spec": f"work_ms={work_ms}", "best_effort": True,
            "steps": [{"count": count, "cpu": cpu, "ram_mb": 64,
                       "estimated_ms": estimated_ms or work_ms, **step}]}


def leave(code):
    """Exits without closing what is still open, one by one."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def run_case(folder, case, limit=110.0):
    """Runs `case(record, trouble)`, which returns a list of broken rules.

    Exits with 1 if there is one, 0 if not, 2 if the case could not run.
    """
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("script", "begin", trouble=trouble)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), limit))
    except Exception as error:  # the case could not run
        traceback.print_exc()
        record.write("script", "could_not_run", cause=repr(error))
        leave(2)
    for line in broken:
        record.write("script", "broken", detail=line)
        print("broken:", line)
    record.write("script", "end", broken=len(broken))
    print("rule broken" if broken else "rule held")
    leave(1 if broken else 0)
