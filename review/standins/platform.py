"""Stand-ins of the platform: the metadata store and a minion."""

import asyncio
import base64
import json
import time
import urllib.parse

from .net import HttpServer, call, now


class Store:
    """The platform's metadata store."""

    def __init__(self, host, port):
        self.items, self.leases, self.history = {}, {}, []
        self.revision, self.lease_count = 1, 76000
        self.changed = asyncio.Event()
        self.server = HttpServer(host, port, self.handle)
        self.address = f"{host}:{port}"
        # Called with the target of each call that has arrived.
        self.on_call = lambda method, target, headers: None

    async def start(self):
        await self.server.start()
        asyncio.ensure_future(self.expire())

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {"created": self.revision})["created"]
        self.items[key] = {
            "key": key, "value": base64.b64encode(value.encode()).decode(),
            "revision": self.revision, "created": created, "lease": lease}
        self.history.append(self.items[key])
        self.notify()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision,
                                 "deleted": True})
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, end) in list(self.leases.items()):
                if time.monotonic() > end:
                    self.end_lease(lease)

    async def handle(self, method, target, headers, body):
        self.on_call(method, target, headers)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        fields = json.loads(body or b"{}")
        await asyncio.sleep(0.004)
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) \
                if item else (404, {})
        if path == "/api/kv-range":
            found = [v for k, v in sorted(self.items.items())
                     if k.startswith(query["prefix"])
                     and k > query.get("after", "")]
            return 200, {"items": found[:500], "truncated": len(found) > 500,
                         "store_revision": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.commit(fields)
        if path == "/api/kv-lease":
            self.lease_count += 1
            ttl = fields["ttl_ms"]
            self.leases[self.lease_count] = (ttl, time.monotonic() + ttl / 1e3)
            return 200, {"lease": self.lease_count, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1e3)
            return 200, {"ttl_ms": ttl}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        after, until = int(query["after"]), now() + int(query["wait_ms"]) / 1e3
        while True:
            changed = self.changed
            events = [e for e in self.history if e["revision"] > after
                      and e["key"].startswith(query["prefix"])]
            if events or now() >= until:
                return 200, {"events": events,
                             "store_revision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass

    def commit(self, fields):
        for row in fields.get("precondition", []):
            item = self.items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return 412, {"items": []}
        for row in fields.get("puts", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in fields.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]).decode(),
                     row.get("lease", 0))
        for key in fields.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Minion:
    """One machine with a minion. `crash()` ends its present life and
    `begin_life()` starts the next one."""

    def __init__(self, name, host, port, agent, record, watch_runs,
                 service="permit-desk", labels=("a", "r1-1"), cpu=32000,
                 zone="joburg-north"):
        self.name, self.agent, self.record = name, agent, record
        self.service, self.labels, self.cpu = service, list(labels), cpu
        self.zone, self.address = zone, f"{host}:{port}"
        # Address in heartbeats; that of a relay, if there is one.
        self.advertised = self.address
        self.watch_runs = watch_runs
        self.server = HttpServer(host, port, self.handle)
        self.lives = 0
        self.up = False
        self.id = None

    def begin_life_state(self, same_id=False):
        self.lives += 1
        if not same_id or self.id is None:
            self.id = f"i-{self.name}-{self.lives}"
        self.born_ms = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.running, self.finished, self.refused = {}, [], {}
        self.token = self.deadline = self.sequence = self.next_end = 0
        self.ended = asyncio.Event()
        self.up = True

    async def begin_life(self, same_id=False):
        self.begin_life_state(same_id)
        await self.server.start()
        self.record.write(self.name, "life", id=self.id, labels=self.labels,
                          service=self.service)
        life = self.lives
        asyncio.ensure_future(self.beat(life))
        asyncio.ensure_future(self.work(life))

    async def crash(self):
        self.up = False
        for key in list(self.running):
            self.watch_runs.end(self, key, "crash")
        self.running = {}
        self.record.write(self.name, "crash")
        await self.server.stop()

    def clock_ms(self):
        return 100000 + int((time.monotonic() - self.clock_start) * 1000)

    def report(self):
        self.sequence += 1
        return {"service": self.service, "address": self.advertised,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "ram_mb": 65536, "gpu": 0},
                "labels": self.labels, "clock_ms": self.clock_ms(),
                "sequence": self.sequence, "born": self.born_ms}

    async def beat(self, life):
        """Sends a heartbeat every 1.5 s, after the first one has arrived."""
        acknowledged = False
        while self.up and life == self.lives:
            status, _ = await call(self.agent, "PUT",
                                   f"/api/instances/{self.id}",
                                   body=self.report(), timeout=1.0)
            acknowledged = acknowledged or status == 200
            await asyncio.sleep(1.5 if acknowledged else 0.1)

    async def work(self, life):
        """Ends runs that are done or whose lease has expired."""
        while self.up and life == self.lives:
            for key, run in list(self.running.items()):
                if self.clock_ms() > self.deadline:
                    self.end(key, "lapsed")
                elif time.monotonic() >= run["end"]:
                    self.end(key, "done")
            await asyncio.sleep(0.003)

    def end(self, key, how):
        self.running.pop(key)
        self.next_end += 1
        self.finished.append([self.next_end, key[0], key[1], how, ""])
        self.refuse(key)
        self.watch_runs.end(self, key, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def refuse(self, key):
        self.refused[key[0]] = max(self.refused.get(key[0], 0), key[1])

    def lengthen(self, deadline):
        self.deadline = max(self.deadline,
                            min(deadline, self.clock_ms() + 1000))

    async def handle(self, method, target, headers, body):
        if not self.up:
            return None
        if target == "/health":
            return 200, {}
        if headers.get("wigeonwall-expected-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        fields = json.loads(body)
        token = fields.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = token
        if target == "/api/hold":
            return await self.hold(fields)
        key = (fields["task"], fields["run"])
        if target == "/api/run-start":
            return self.start_run(key, fields)
        if target == "/api/run-stop":
            self.record.write(self.name, "stop", task=key[0], run=key[1])
            self.refuse(key)
            if key in self.running:
                await asyncio.sleep(0.01)
                if key in self.running:
                    self.end(key, "stopped")
            return 200, {"clock_ms": self.clock_ms()}
        return 404, {}

    def start_run(self, key, fields):
        if fields["deadline_ms"] <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self.lengthen(fields["deadline_ms"])
        if key not in self.running:
            if key[1] <= self.refused.get(key[0], 0):
                return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
            length = float(fields["spec"].split("work_ms=")[1]) / 1e3
            self.running[key] = {"begin": time.monotonic(),
                                 "end": time.monotonic() + length,
                                 "length": length}
            self.watch_runs.start(self, key, fields["spec"])
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, fields):
        if "deadline_ms" in fields:
            self.lengthen(fields["deadline_ms"])
        observed = fields.get("observed", 0)
        self.finished = [row for row in self.finished if row[0] > observed]
        wait = fields.get("wait_ms", 0) / 1e3
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        rows = [[key[0], key[1], "", self.percent(run), 3000]
                for key, run in self.running.items()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born_ms,
                     "running": rows, "finished": self.finished[:500]}

    @staticmethod
    def percent(run):
        done = (time.monotonic() - run["begin"]) / run["length"]
        return max(0, min(99, int(100 * done)))


class RunWatch:
    """Records starts and ends at all minions; `on_start` checks a rule."""

    def __init__(self, record):
        self.record = record
        self.active = {}
        self.starts = []
        self.on_start = lambda minion, key, spec: None

    def start(self, minion, key, spec):
        self.record.write(minion.name, "start", task=key[0], run=key[1],
                          labels=minion.labels)
        self.starts.append((now(), minion.name, key))
        self.on_start(minion, key, spec)
        self.active.setdefault(key[0], set()).add((minion.name, key[1]))

    def end(self, minion, key, how):
        self.record.write(minion.name, "end", task=key[0], run=key[1], how=how)
        self.active.get(key[0], set()).discard((minion.name, key[1]))
