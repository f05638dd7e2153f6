"""Stand-ins for the deployment around the controllers, on loopback and the real clock.

One process plays the state service, the cloud, the workers and the users by their published protocol, and starts the
controllers as separate processes with the command of `deploy/service.toml`. It records what was sent, answered and run,
and checks the rules on what workers and users see. Standard library only.
"""
import asyncio
import ctypes
import heapq
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


def free_port():
    """A free port below those that the system gives to outgoing connections, so that a restarted process finds it free."""
    while True:
        port = random.SystemRandom().randrange(15000, 30000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


class Drop(Exception):
    """The stand-in closes the connection without an answer."""


class Silent(Exception):
    """The stand-in never answers; the connection stays open until the caller closes it."""


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    length, close = 0, False
    for line in lines[1:]:
        name, _, value = line.partition(":")
        name = name.lower()
        if name == "content-length":
            length = int(value)
        elif name == "connection" and value.strip().lower() == "close":
            close = True
    return lines[0], length, close


async def serve_http(handler, port=0):
    """Serves `handler(method, path, body) -> (status, body object)`."""

    async def on_conn(reader, writer):
        try:
            while True:
                line, length, close = await read_head(reader)
                body = await reader.readexactly(length) if length else b""
                method, path, _ = line.split(" ", 2)
                try:
                    status, value = await handler(method, path, body)
                except Drop:
                    break
                except Silent:
                    await reader.read()
                    break
                data = value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data)))
                writer.write(data)
                await writer.drain()
                if close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            try:
                writer.close()
            except Exception:
                pass

    server = await asyncio.start_server(on_conn, "127.0.0.1", port, limit=1 << 20, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """One keep-alive connection."""

    def __init__(self, addr):
        self.addr = addr
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, body=b"", timeout=2.0, connect_timeout=1.0):
        """Returns (status, headers, body); raises on failure, with the connection closed."""
        try:
            return await asyncio.wait_for(self._call(method, path, body, connect_timeout), timeout)
        except BaseException:
            self.close()
            raise

    async def _call(self, method, path, body, connect_timeout):
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(*self.addr, limit=1 << 22), connect_timeout)
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await self.writer.drain()
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        status = int(head[0].split(" ")[1])
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        data = await self.reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, headers, data


async def call_once(addr, method, path, body=b"", timeout=2.0):
    client = Client(addr)
    try:
        return await client.call(method, path, body, timeout)
    finally:
        client.close()


class Bucket:
    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, now()

    def take(self, n):
        t = now()
        self.tokens = min(self.rate, self.tokens + (t - self.at) * self.rate)
        self.at = t
        if self.tokens < n:
            return False
        self.tokens -= n
        return True


class State:
    """The state service. Each controller has an address of its own for it, so that it can be treated alone."""

    def __init__(self, limits, latency=0.003):
        self.limits = limits
        self.latency = latency
        self.keys = {}  # path -> [value json text, stamp, permit]
        self.epoch = 0
        self.log = deque(maxlen=10000)  # (epoch, path, text or None)
        self.permits = {}  # id -> [ttl, ends at]
        self.next_permit = 1
        self.changed = asyncio.Event()
        self.requests = Bucket(limits["rps"])
        self.writes = Bucket(limits["write_rps"])
        self.out = False
        self.refused = set()  # nodes that get 503
        self.hook = None  # async hook(node, method, path, body, execute) -> (status, value) or None
        self.counts = {}

    def expire(self):
        if self.out:
            return
        t = now()
        for permit in [p for p, (_, ends) in self.permits.items() if ends + 0.02 < t]:
            self.end_permit(permit)

    def end_permit(self, permit):
        self.permits.pop(permit, None)
        gone = [k for k, v in self.keys.items() if v[2] == permit]
        if gone:
            self.epoch += 1
            for key in gone:
                del self.keys[key]
                self.log.append((self.epoch, key, None))
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def ticker(self):
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    async def outage(self, for_s):
        self.out = True
        await asyncio.sleep(for_s)
        t = now()
        for lease in self.permits.values():
            lease[1] = t + lease[0]
        self.out = False

    def handler(self, node):
        async def handle(method, path, body):
            await asyncio.sleep(self.latency)
            if self.hook:
                answer = await self.hook(node, method, path, body, lambda: self.execute(node, method, path, body))
                if answer is not None:
                    return answer
            return await self.execute(node, method, path, body)
        return handle

    async def execute(self, node, method, path, body):
        path, _, query = path.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/watch":
            return await self.watch(node, args)
        if self.out or node in self.refused:
            return 503, {"error": "trouble"}
        self.expire()
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/store":
            return self.list(args)
        if path.startswith("/store/"):
            key = path[len("/store/"):]
            found = self.keys.get(key)
            if found is None:
                return 404, {"epoch": self.epoch}
            permit = f',"permit":{found[2]}' if found[2] else ""
            return 200, f'{{"path":{json.dumps(key)},"value":{found[0]},"stamp":{found[1]}{permit}}}'.encode()
        if path == "/txn":
            return self.txn(body)
        if path == "/grants":
            ttl = json.loads(body)["ttlMs"] / 1000
            permit = self.next_permit
            self.next_permit += 1
            self.permits[permit] = [ttl, now() + ttl]
            return 200, {"permit": permit}
        if path.startswith("/grants/"):
            permit = int(path.split("/")[2])
            if permit not in self.permits:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_permit(permit)
            else:
                self.permits[permit][1] = now() + self.permits[permit][0]
            return 200, {}
        return 404, {"epoch": self.epoch}

    def list(self, args):
        prefix, after, limit = args.get("prefix", ""), args.get("from", ""), min(int(args.get("limit", 1000)), 1000)
        items, size, more = [], 0, False
        for key in sorted(k for k in self.keys if k.startswith(prefix) and k > after):
            value, stamp, _ = self.keys[key]
            item = f'{{"path":{json.dumps(key)},"value":{value},"stamp":{stamp}}}'
            if len(items) >= limit or size + len(item) > 512 * 1024:
                more = True
                break
            items.append(item)
            size += len(item)
        return 200, f'{{"items":[{",".join(items)}],"truncated":{"true" if more else "false"},"epoch":{self.epoch}}}'.encode()

    def txn(self, body):
        if len(body) > 64 * 1024:
            self.counts["txn_too_large"] = self.counts.get("txn_too_large", 0) + 1
            return 400, {"error": "transaction too large"}
        request = json.loads(body)
        conditions, changes = request.get("if", []), request.get("apply", [])
        if len(changes) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many operations"}
        encoded = []
        for change in changes:
            if "set" in change:
                text = json.dumps(change["value"], separators=(",", ":"))
                if len(text) > self.limits["value_kb"] * 1024:
                    return 400, {"error": "value too large"}
                if change.get("permit") is not None and change["permit"] not in self.permits:
                    return 400, {"error": "no such lease"}
                encoded.append((change["set"], text, change.get("permit")))
            else:
                encoded.append((change["delete"], None, None))
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        failed = [c["path"] for c in conditions if (self.keys[c["path"]][1] if c["path"] in self.keys else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
            for key, text, permit in encoded:
                if text is None:
                    if key in self.keys:
                        del self.keys[key]
                        self.log.append((self.epoch, key, None))
                else:
                    self.keys[key] = [text, self.epoch, permit]
                    self.log.append((self.epoch, key, text))
            self.wake()
        return 200, {"epoch": self.epoch}

    async def watch(self, node, args):
        prefix, since = args.get("prefix", ""), int(args["from"])
        ends = now() + min(int(args.get("blockMs", 0)), 60000) / 1000
        if (self.out or node in self.refused) and int(args.get("blockMs", 0)) == 0:
            return 503, {"error": "trouble"}
        if not (self.out or node in self.refused) and not self.requests.take(1):
            return 429, {"error": "too many requests"}
        while True:
            if not (self.out or node in self.refused):
                if self.log and self.log[0][0] > since + 1 and len(self.log) == self.log.maxlen:
                    return 410, {"epoch": self.epoch}
                events = []
                for epoch, key, text in reversed(self.log):
                    if epoch <= since:
                        break
                    if key.startswith(prefix):
                        events.append(f'{{"delete":{json.dumps(key)},"stamp":{epoch}}}' if text is None else
                                      f'{{"set":{json.dumps(key)},"value":{text},"stamp":{epoch}}}')
                if events or now() >= ends:
                    events.reverse()
                    return 200, f'{{"epoch":{self.epoch},"events":[{",".join(events)}]}}'.encode()
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(max(ends - now(), 0.01), 0.2))
            except asyncio.TimeoutError:
                pass


class Cloud:
    def __init__(self, world, types):
        self.world, self.types = world, types
        self.hires = {}

    async def handle(self, method, path, body):
        await asyncio.sleep(0.02)
        path, _, query = path.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/machine_types":
            return 200, {"builds": self.types}
        if path == "/hosts" and method == "GET":
            after = args.get("from", "")
            rows = [{"uid": w.name, "addr": w.addr, "build": w.build, "paddock": w.zone, "loaners": w.spot,
                     "status": "running", "ageS": round(now() - w.born + 100, 1)}
                    for w in sorted(self.world.workers.values(), key=lambda w: w.name) if not w.gone and w.name > after]
            return 200, {"hosts": rows[:500], "truncated": len(rows) > 500}
        if path == "/hosts":
            return 503, {"error": "no capacity"}
        if path == "/hosts/return":
            for name in json.loads(body)["hosts"]:
                worker = self.world.workers.get(name)
                if worker:
                    self.world.note("returned", machine=name)
                    worker.vanish()
            return 200, {}
        return 404, {}


class Worker:
    def __init__(self, world, name, build, zone, spot=False):
        self.world, self.name, self.build, self.zone, self.spot = world, name, build, zone, spot
        self.type = next(t for t in world.types if t["sku"] == build)
        self.parts = {}  # (part, try) -> dict
        self.due = []  # (time, (part, try)): when something happens to a task
        self.attempts = {}  # part -> attempts started here
        self.cores = self.mem = 0.0  # in use
        self.stint, self.tally, self.baton = 1, 0, 0
        self.warning_ends = None
        self.images = set()
        self.lease_from = now()
        self.born = now()
        self.gone = False
        self.hung = False
        self.node = random.randrange(len(world.nodes))
        self.urgent = asyncio.Event()
        self.last_told_baton = 0
        self.client = None
        self.mute = self.deaf = False
        self.command_hook = None  # async hook(worker, body) before execution
        self.reports_failed = 0
        self.refused = {}  # status -> reports that a controller answered with it

    async def start(self):
        self.server, port = await serve_http(self.handle)
        self.addr = f"127.0.0.1:{port}"
        self.tasks = [asyncio.create_task(self.report_loop()), asyncio.create_task(self.run_loop())]

    def vanish(self):
        self.gone = True
        for key in list(self.parts):
            self.drop(key, "gone")
        self.server.close()
        for task in self.tasks:
            task.cancel()

    # -- tasks
    def drop(self, key, why):
        part = self.parts.pop(key, None)
        if part:
            self.release(part)
        if part and part["on"]:
            self.world.part_off(self, key, why)

    def check_lease(self):
        if now() - self.lease_from > self.world.lease_s:
            self.world.note("lease_over", machine=self.name, stint=self.stint, parts=len(self.parts))
            for key, part in list(self.parts.items()):
                if part["status"] != "ended" and key[0].rsplit("/", 1)[0] not in self.world.quiet:
                    self.world.killed.append([key[0], self.name, round(now(), 1)])
                self.drop(key, "lease")
            self.stint += 1
            self.tally = 0
            self.lease_from = now()
            self.urgent.set()

    async def run_loop(self):
        while True:
            await asyncio.sleep(0.05)
            # The lease of a hanging machine runs out as well: it may continue only within it.
            self.check_lease()
            if self.hung:
                continue
            t = now()
            while self.due and self.due[0][0] <= t:
                _, key = heapq.heappop(self.due)
                part = self.parts.get(key)
                if part is None:
                    continue
                if t < part["at"]:
                    heapq.heappush(self.due, (part["at"], key))
                    continue
                if part["status"] == "fetching" and t >= part["at"]:
                    spec = self.world.specs[key[0].rsplit("/", 1)[0]]
                    self.images.add(spec["bundle"])
                    if (key[0]) in self.world.completed:
                        self.end(key, "done")
                        continue
                    part["status"], part["at"] = "running", t + self.world.run_time(self, key[0], spec)
                    heapq.heappush(self.due, (part["at"], key))
                    part["on"] = True
                    self.world.part_on(self, key, spec)
                    self.urgent.set()
                elif part["status"] == "running" and t >= part["at"]:
                    self.end(key, self.world.outcome(self, key[0]))
                elif part["status"] == "saving" and t >= part["at"]:
                    part["saved"] = True
                    self.end(key, "stopped")

    def end(self, key, cause):
        part = self.parts[key]
        if part["on"]:
            part["on"] = False
            self.world.part_off(self, key, cause)
        if cause == "done":
            self.world.completed.add(key[0])
        part["status"], part["cause"] = "ended", cause
        self.release(part)
        self.urgent.set()

    def release(self, part):
        self.cores -= part["size"][0]
        self.mem -= part["size"][1]
        part["size"] = (0.0, 0.0)

    def execute(self, orders):
        for order in orders:
            key = (order["part"], order["try"])
            verb = order["verb"]
            self.world.orders += 1
            if verb == "start":
                if key in self.parts:
                    continue
                uid = key[0].rsplit("/", 1)[0]
                part = {"status": "fetching", "at": 0, "on": False, "size": (0.0, 0.0)}
                same = [a for a in self.attempts.get(key[0], ()) if self.parts.get((key[0], a), {}).get("status", "ended") != "ended"]
                self.attempts.setdefault(key[0], []).append(key[1])
                self.parts[key] = part
                self.urgent.set()
                spec = self.world.specs.get(uid)
                self.world.note("start", machine=self.name, part=key[0], attempt=key[1])
                if spec is None:
                    self.end(key, "unknown")
                    continue
                if same:
                    self.end(key, "in_use")
                    continue
                if self.cores + spec["cores"] > self.type["cores"] + 1e-6 or self.mem + spec["memGb"] > self.type["memGb"] + 1e-6:
                    self.end(key, "no_room")
                    continue
                fetch = 0.0 if spec["bundle"] in self.images else spec["sizeGb"] / self.type["fetchGbPerS"]
                part["size"] = (spec["cores"], spec["memGb"])
                self.cores += spec["cores"]
                self.mem += spec["memGb"]
                part["at"] = now() + fetch
                heapq.heappush(self.due, (part["at"], key))
            elif verb == "halt":
                part = self.parts.get(key)
                if part is None or part["status"] == "ended":
                    continue
                spec = self.world.specs[key[0].rsplit("/", 1)[0]]
                self.world.note("halt", machine=self.name, part=key[0], attempt=key[1])
                if part["status"] == "running" and spec["markS"] > 0 and order.get("windDownS", 0) >= spec["stashS"]:
                    part["status"], part["at"] = "saving", now() + spec["stashS"]
                    heapq.heappush(self.due, (part["at"], key))
                    self.urgent.set()
                elif part["status"] == "saving" and order.get("windDownS", 0) > 0:
                    pass
                else:
                    self.end(key, "stopped")
            elif verb == "reap":
                part = self.parts.get(key)
                if part and part["status"] == "ended":
                    del self.parts[key]
                    self.urgent.set()

    def report(self, count=True):
        self.tally += count
        warning = None if self.warning_ends is None else max(0.0, round(self.warning_ends - now(), 3))
        rows = []
        for (name, attempt), part in self.parts.items():
            row = {"part": name, "try": attempt, "status": part["status"]}
            if part["status"] == "ended":
                row["cause"] = part["cause"]
                if part.get("saved"):
                    row["saved"] = True
            rows.append(row)
        return {"host": self.name, "addr": self.addr, "build": self.build, "paddock": self.zone, "loaners": self.spot,
                "stint": self.stint, "tally": self.tally, "baton": self.baton, "warningS": warning, "parts": rows}

    def see_baton(self, baton):
        if baton > self.baton:
            self.baton = baton
            if now() - self.last_told_baton > self.world.lease_s / 2:
                self.last_told_baton = now()
                self.urgent.set()

    # -- calls from controllers
    async def handle(self, method, path, body):
        while self.hung and not self.gone:
            await asyncio.sleep(0.05)
        if self.deaf:
            raise Silent
        if path == "/status":
            self.check_lease()
            return 200, self.report()
        if path != "/commands":
            return 404, {}
        if self.command_hook:
            await self.command_hook(self, body)
        self.check_lease()
        request = json.loads(body)
        if "baton" not in request or "stint" not in request:
            return 400, {}
        if request["baton"] < self.baton or request["stint"] != self.stint:
            return 409, self.report()
        self.see_baton(request["baton"])
        self.execute(request["orders"])
        if self.world.carried_out:
            self.world.carried_out(self, body)
        return 200, self.report()

    # -- reports
    async def report_loop(self):
        await asyncio.sleep(random.random() * 0.5)
        while True:
            while self.hung:
                await asyncio.sleep(0.05)
            self.check_lease()
            self.urgent.clear()
            stint, sent = self.stint, now()
            body = json.dumps(self.report(), separators=(",", ":")).encode()
            pause = None
            try:
                if self.mute:
                    await asyncio.sleep(1.0)
                    raise ConnectionError
                if self.client is None:
                    self.client = Client(self.world.nodes[self.node].addr)
                status, _, data = await self.client.call("POST", "/checkin", body, timeout=4.0)
                while self.hung:
                    await asyncio.sleep(0.05)
                if self.deaf:
                    await asyncio.sleep(max(0, 4.0 - (now() - sent)))
                    raise ConnectionError
                if status == 200:
                    answer = json.loads(data)
                    self.world.answered += 1
                    if stint == self.stint and now() - sent <= 4.0 and answer.get("baton", -1) >= self.baton:
                        self.check_lease()
                        if stint == self.stint:
                            self.lease_from = max(self.lease_from, sent)
                            self.see_baton(answer["baton"])
                            self.execute(answer.get("orders", []))
                elif status == 421:
                    boss = json.loads(data or b"{}").get("boss")
                    names = [n.name for n in self.world.nodes]
                    if boss in names and names.index(boss) != self.node:
                        self.switch(names.index(boss))
                        pause = random.random() * 0.5
                    else:
                        self.switch()
                        pause = 1.0
                else:
                    self.refused[status] = self.refused.get(status, 0) + 1
                    self.world.note("report_refused", machine=self.name, status=status, bytes=len(body))
                    self.switch()
                    pause = 1.0
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                self.reports_failed += 1
                self.switch()
                pause = 1.0
            if pause is None:
                period = self.world.report_s * random.uniform(0.75, 1.25)
                try:
                    await asyncio.wait_for(self.urgent.wait(), period)
                    await asyncio.sleep(max(0, 0.5 - (now() - sent)))
                except asyncio.TimeoutError:
                    pass
            else:
                await asyncio.sleep(pause)

    def switch(self, to=None):
        if self.client:
            self.client.close()
        self.client = None
        self.node = (self.node + 1) % len(self.world.nodes) if to is None else to


def end_with_parent():
    """Has the kernel end this process when the play ends, however that ends (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Node:
    def __init__(self, world, index, name, zone):
        self.world, self.index, self.name, self.zone = world, index, name, zone
        self.port, self.peer_port = free_port(), free_port()
        self.addr = ("127.0.0.1", self.port)
        self.process = None
        self.starts = 0

    def write_config(self):
        w = self.world
        lines = [f'label = "{self.name}"', f'domain = "{self.zone}"', f'listen = "127.0.0.1:{self.port}"',
                 f'cluster_listen = "127.0.0.1:{self.peer_port}"']
        for other in w.nodes:
            if other is not self:
                port = w.peer_ports.get((self.name, other.name), other.peer_port)
                lines += ["[[others]]", f'label = "{other.name}"', f'domain = "{other.zone}"',
                          f'endpoint = "127.0.0.1:{port}"']
        lines += ["[endpoints]", f'cloud = "127.0.0.1:{w.cloud_port}"', f'state = "127.0.0.1:{self.state_port}"',
                  "[settings]", f"nodes = {len(w.nodes)}", "zones = " + json.dumps(w.zones), "time_bound_ms = 5.0"]
        for team in w.teams:
            lines += ["[[settings.teams]]"] + [f"{k} = {json.dumps(v)}" for k, v in team.items()]
        for objective in w.objectives:
            lines += ["[[settings.objectives]]"] + [f"{k} = {json.dumps(v)}" for k, v in objective.items()]
        lines += ["[settings.workers]", f"report_s = {w.report_s}", f"lease_s = {w.lease_s}", "gang_wait_s = 50.0",
                  "gang_peer_s = 6.0", f"cancel_s = {w.cancel_s}", "[settings.state]",
                  f"rps = {w.limits['rps']}", f"write_rps = {w.limits['write_rps']}", f"value_kb = {w.limits['value_kb']}",
                  f"txn_ops = {w.limits['txn_ops']}"]
        if w.next_limits:
            lines += ["[settings.state.next]"] + [f"{k} = {v}" for k, v in w.next_limits.items()]
        lines += ["[settings.cloud]", "rps = 8.0", "list_lag_s = 8.0", "[settings.machine_limits]", "cpu_share = 0.096",
                  "ram_mb = 136.0", "max_connections = 3000"]
        self.config = os.path.join(w.folder, self.name + ".toml")
        with open(self.config, "w") as f:
            f.write("\n".join(lines) + "\n")

    def start(self):
        if self.process and self.process.poll() is None:
            return
        self.starts += 1
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.process = subprocess.Popen(self.world.command + [self.config], cwd=ROOT, env=env, stderr=log,
                                        stdout=subprocess.DEVNULL, stdin=subprocess.DEVNULL, start_new_session=True,
                                        preexec_fn=end_with_parent)
        self.world.note("node_start", node=self.name)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.world.note("node_kill", node=self.name)
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.process = None


class World:
    def __init__(self, *, nodes=3, zones=("cairns", "brisbane", "townsville"), types=None, teams=None, lease_s=31.0,
                 cancel_s=51.0, report_s=3.0, limits=None, next_limits=None, record=None, objectives=()):
        self.zones = list(zones)
        self.types = types or [
            {"sku": "quad", "cores": 4, "accelerators": 0, "memGb": 16, "cacheGb": 50, "fetchGbPerS": 0.25, "price": 0.27,
             "spotPrice": 0.07, "readyS": 35, "paddocks": self.zones},
            {"sku": "furnace", "cores": 16, "accelerators": 0, "memGb": 64, "cacheGb": 50, "fetchGbPerS": 0.25, "price": 1.03,
             "spotPrice": 0.3, "readyS": 50, "paddocks": self.zones}]
        self.teams = teams or [{"name": n, "cpus": c, "cpus_max": m, "gpus": 0.0, "gpus_max": 0.0} for n, c, m in
                               [("reefline", 32.0, 104.0), ("mackay", 16.0, 48.0), ("tablelands", 24.0, 64.0),
                                ("localise", 40.0, 104.0), ("qc-desk", 32.0, 136.0), ("platform", 24.0, 64.0)]]
        self.objectives = list(objectives)
        self.lease_s, self.cancel_s, self.report_s = lease_s, cancel_s, report_s
        self.limits = limits or {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 24}
        self.next_limits = next_limits
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record_file = open(record, "w") if record else None
        self.nodes = []
        self.nodes = [Node(self, i, f"drover-{i}", self.zones[i % len(self.zones)]) for i in range(nodes)]
        self.peer_ports = {}
        self.workers = {}
        self.specs = {}
        self.completed = set()
        self.on = {}  # part -> {(machine, try)}
        self.team_use = {}  # team -> cores of its tasks on machines
        self.told = {}  # uid -> dict of what users were told
        self.broken = []
        self.orders = self.answered = 0
        self.run_times = {}
        self.carried_out = None  # called with each worker and direct command that it carried out
        self.killed = []  # tasks killed because a lease ran out
        self.quiet, self.quiet_counts = set(), {}  # jobs whose tasks are only counted in the record
        self.failing = set()
        self.background = []
        deploy = open(os.path.join(ROOT, "deploy", "service.toml")).read()
        run = next(l for l in deploy.splitlines() if l.startswith("run ")).split('"')[1]
        self.command = run.split()
        self.unhealthy_until = {}

    def note(self, what, **fields):
        if str(fields.get("part", "")).rsplit("/", 1)[0] in self.quiet:
            self.quiet_counts[what] = self.quiet_counts.get(what, 0) + 1
            return
        if self.record_file:
            self.record_file.write(json.dumps({"t": round(now(), 3), "what": what, **fields}) + "\n")

    def break_rule(self, rule, **fields):
        self.broken.append((rule, fields))
        self.note("RULE BROKEN", rule=rule, **fields)
        print(f"[{now():7.2f}] broken: {rule} {fields}", flush=True)

    async def start(self):
        self.state = State(self.limits)
        self.servers = []
        for node in self.nodes:
            server, node.state_port = await serve_http(self.state.handler(node.name))
            self.servers.append(server)
        self.cloud = Cloud(self, self.types)
        server, self.cloud_port = await serve_http(self.cloud.handle)
        self.servers.append(server)
        self.background.append(asyncio.create_task(self.state.ticker()))
        self.background.append(asyncio.create_task(self.health_loop()))
        for node in self.nodes:
            node.healthy = False
            node.write_config()

    async def add_worker(self, name, build, zone, spot=False):
        worker = Worker(self, name, build, zone, spot)
        await worker.start()
        self.workers[name] = worker
        return worker

    async def finish(self, play):
        """Runs the coroutine, ends all processes and exits with its result, with 2 if it failed."""
        code = 2
        try:
            task = asyncio.ensure_future(play)
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
            code = await task
        except asyncio.CancelledError:
            print("ended by a signal")
        except Exception as error:
            print("the case could not run:", repr(error))
        await self.stop()
        sys.stdout.flush()
        os._exit(code)

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for task in self.background:
            task.cancel()
        await asyncio.sleep(0)
        if self.record_file:
            self.record_file.close()
        if os.environ.get("KEEP"):
            print("folder", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # -- what workers report to the checker
    def run_time(self, worker, part, spec):
        return self.run_times.get(part, self.run_times.get(part.rsplit("/", 1)[0], spec["guessS"]))

    def outcome(self, worker, part):
        return "error" if part.rsplit("/", 1)[0] in self.failing else "done"

    def usage(self, team):
        return self.team_use.get(team, 0.0)

    def part_on(self, worker, key, spec):
        part, attempt = key
        self.note("on", machine=worker.name, part=part, attempt=attempt)
        where = self.on.setdefault(part, set())
        if where:
            self.break_rule("ran_twice", part=part, machine=worker.name, attempt=attempt, others=sorted(where))
        where.add((worker.name, attempt))
        self.team_use[spec["owner"]] = self.team_use.get(spec["owner"], 0.0) + spec["cores"]
        uid = part.rsplit("/", 1)[0]
        told = self.told.get(uid, {})
        if told.get("cancelled_at") and now() > told["cancelled_at"] + self.cancel_s:
            self.break_rule("ran_cancelled", part=part, machine=worker.name)
        if told.get("cancelled_at"):
            self.note("started_after_cancellation", part=part)
        team = next((t for t in self.teams if t["name"] == spec["owner"]), None)
        if team and team["cpus_max"] and self.usage(spec["owner"]) > team["cpus_max"] + 1e-6:
            self.break_rule("quota", team=spec["owner"], used=self.usage(spec["owner"]), limit=team["cpus_max"], part=part)
        if spec.get("builds") and worker.build not in spec["builds"] or spec.get("paddock") not in (None, worker.zone) \
                or worker.spot and not spec["loaners"]:
            self.break_rule("wrong_place", part=part, machine=worker.name)
        zones = []
        if (spec.get("together") or spec.get("apart")) and spec["parts"] < 1000:
            zones = [self.workers[m].zone for i in range(spec["parts"]) for m, _ in self.on.get(f"{uid}/{i}", ())]
        if spec.get("together") and len(set(zones)) > 1:
            self.break_rule("wrong_place", part=part, machine=worker.name, zones=sorted(set(zones)))
        if spec.get("apart") and zones.count(worker.zone) > (spec["parts"] + 1) // 2:
            self.break_rule("wrong_place", part=part, machine=worker.name, apart=zones.count(worker.zone))
        for other in spec.get("waitsOn", []):
            if any(f"{other}/{i}" not in self.completed for i in range(self.specs[other]["parts"])):
                self.break_rule("too_early", part=part, needs=other)

    def part_off(self, worker, key, why):
        part, attempt = key
        self.note("off", machine=worker.name, part=part, attempt=attempt, cause=why)
        spec = self.specs[part.rsplit("/", 1)[0]]
        self.team_use[spec["owner"]] -= spec["cores"]
        self.on.get(part, set()).discard((worker.name, attempt))
        if not self.on.get(part):
            self.on.pop(part, None)

    def check_cancelled(self):
        for part, where in list(self.on.items()):
            told = self.told.get(part.rsplit("/", 1)[0], {})
            at = told.get("cancelled_at")
            if at and now() > at + self.cancel_s and not told.get("flagged"):
                told["flagged"] = True
                self.break_rule("ran_cancelled", part=part, where=sorted(where), told_s_ago=round(now() - at, 2))

    # -- load balancer and users
    async def health_loop(self):
        async def probe(node):
            fails = oks = 0
            while True:
                try:
                    status, _, _ = await call_once(node.addr, "GET", "/up", timeout=1.0)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    status = 0
                if status == 200:
                    oks, fails = oks + 1, 0
                    if oks >= 2 or not getattr(node, "ever", False):
                        node.healthy = node.ever = True
                else:
                    oks, fails = 0, fails + 1
                    if fails >= 2:
                        node.healthy = False
                await asyncio.sleep(1.0 if getattr(node, "ever", False) else 0.2)
                self.check_cancelled()
        await asyncio.gather(*[probe(n) for n in self.nodes])

    def pick(self):
        healthy = [n for n in self.nodes if n.healthy]
        return random.choice(healthy or self.nodes)

    async def request(self, method, path, body=b"", timeout=2.0, node=None):
        node = node or self.pick()
        try:
            status, headers, data = await call_once(node.addr, method, path, body, timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as e:
            return node, 0, {}, type(e).__name__
        try:
            value = json.loads(data)
        except ValueError:
            value = {}
        return node, status, headers, value

    def spec(self, uid, owner, parts, cores, mem, guess, **more):
        spec = {"uid": uid, "herd": more.pop("herd", "episode"), "owner": owner, "shape": "array", "urgency": "normal",
                "parts": parts, "cores": cores, "accelerators": 0.0, "memGb": mem, "bundle": "img-1", "sizeGb": 0.1,
                "builds": None, "paddock": None, "together": False, "apart": False, "loaners": True, "guessS": guess,
                "markS": 0.0, "stashS": 0.0, "dueS": None}
        spec.update(more)
        return spec

    async def submit(self, spec, node=None, for_s=60.0):
        uid = spec["uid"]
        self.specs[uid] = spec
        first = now()
        body = json.dumps(spec).encode()
        while now() < first + for_s:
            used, status, headers, value = await self.request("POST", "/work", body, 5.0, node)
            self.note("submit", uid=uid, node=used.name, status=status, answer=value)
            if status in (200, 201):
                self.hear(uid, value, accepted=True)
                return status, value
            if status in (400, 422):
                if self.told.get(uid, {}).get("accepted"):
                    self.break_rule("forgotten", uid=uid, status=status)
                return status, value
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", 1) if headers else 1))))
        return 0, None

    async def cancel(self, uid, node=None, for_s=60.0):
        first = now()
        self.told.setdefault(uid, {})["cancel_asked"] = True
        while now() < first + for_s:
            used, status, headers, value = await self.request("POST", f"/work/{uid}/cancel", b"", 5.0, node)
            self.note("cancel", uid=uid, node=used.name, status=status, answer=value)
            if status == 200:
                self.hear(uid, value)
                return value["status"]
            await asyncio.sleep(1.0)
        return None

    def hear(self, uid, value, accepted=False):
        told = self.told.setdefault(uid, {})
        status = value.get("status")
        if accepted:
            told["accepted"] = True
            told.setdefault("accepted_at", now())
        final = told.get("final")
        if final and status != final:
            self.break_rule("went_back", uid=uid, was=final, now=status)
        if status == "cancelled":
            told.setdefault("cancelled_at", now())
            told["final"] = "cancelled"
            if not told.get("cancel_asked") and not self.specs[uid].get("waitsOn"):
                self.break_rule("went_back", uid=uid, now="cancelled", asked=False)
        if status == "done":
            told["final"] = "done"
            told.setdefault("done_at", now())
            missing = [i for i in range(self.specs[uid]["parts"]) if f"{uid}/{i}" not in self.completed]
            if missing:
                self.break_rule("not_done", uid=uid, missing=missing[:5])

    async def poll(self, uid, node=None):
        asked = now()
        final = self.told.get(uid, {}).get("final")
        accepted = self.told.get(uid, {}).get("accepted")
        used, status, _, value = await self.request("GET", f"/work/{uid}", b"", 2.0, node)
        self.note("poll", uid=uid, node=used.name, status=status, answer=value, took=round(now() - asked, 3))
        if status == 200:
            if final and value.get("status") != final:
                self.break_rule("went_back", uid=uid, was=final, now=value.get("status"), node=used.name)
            self.hear(uid, value) if not (self.told.get(uid, {}).get("final") and not final) else None
            self.told.setdefault(uid, {})["last_answer"] = now()
            return value
        if status == 404 and accepted:
            self.break_rule("forgotten", uid=uid, status=404, node=used.name)
        return None

    async def poll_until_final(self, uid, every=5.0):
        while True:
            value = await self.poll(uid)
            if value and value["status"] in ("done", "cancelled"):
                return value["status"]
            await asyncio.sleep(every)

    def leader(self):
        found = self.state.keys.get("leader")
        if not found:
            return None
        name = json.loads(found[0])["node"]
        return next(n for n in self.nodes if n.name == name)

    async def until(self, condition, for_s):
        end = now() + for_s
        while now() < end:
            if condition():
                return True
            await asyncio.sleep(0.05)
        return False
