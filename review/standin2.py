"""Small deployment on loopback: the project's daemons, and stand-ins for clients, runners, operator."""
import asyncio, json, os, signal, socket, subprocess, sys, tempfile, time, shutil, random, hashlib
ROOT = os.environ.get("DW_ROOT", os.getcwd())
DAEMON = os.path.join(ROOT, "target/release/deckwindd")
T0 = time.monotonic()
def now(): return time.monotonic() - T0

def free_base():
    for _ in range(200):
        b = random.randrange(20000, 55000, 20)
        ok = True
        for off in range(12):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                s = socket.socket(socket.AF_INET, kind)
                try: s.bind(("127.0.0.1", b + off))
                except OSError: ok = False
                finally: s.close()
        if ok: return b
    raise SystemExit(2)

class Log:
    def __init__(self, path): self.f = open(path, "w")
    def __call__(self, *a):
        self.f.write("%9.3f %s\n" % (now(), " ".join(str(x) for x in a))); self.f.flush()

class Lab:
    def __init__(self, controls=5, routers=2, lost=2, record=None, seeds=3, keep_logs=True):
        self.dir = tempfile.mkdtemp(prefix="dwlab-")
        b = free_base()
        self.P = dict(calls=b, peer=b+1, front=b+2, ready=b+3, rpeer=b+4, admin=b+5, runner=b+6)
        net = random.randrange(2, 250)
        self.cip = ["127.%d.1.%d" % (net, i+1) for i in range(controls)]
        self.rip = ["127.%d.2.%d" % (net, i+1) for i in range(routers)]
        self.net = net
        self.zones = ["za", "zb", "zc"]
        self.seeds = self.cip[:seeds]
        self.lost = lost
        self.proc = {}
        self.started_once = False
        self.log = Log(record) if record else (lambda *a: None)
        self.first = True
        self.logs = {}
    def settings(self, kind, i, first):
        P = self.P
        ip = self.cip[i] if kind == "c" else self.rip[i]
        s = {"vm": "%s-%d" % ("core" if kind == "c" else "front", i), "data_centre": self.zones[i % 3],
             "seeds": {"ip": ip, "peer_port": P["peer"], "control": ["%s:%d" % (x, P["calls"]) for x in self.seeds],
                       "lost_at_once": str(self.lost)}, "log": {"level": "info"}}
        if first: s["seeds"]["first_start"] = True
        if kind == "r":
            s["router"] = {"routes": "%s:%d" % (ip, P["front"]), "ready": "%s:%d" % (ip, P["ready"]),
                "peers": "%s:%d" % (ip, P["rpeer"]), "admin": "%s:%d" % (ip, P["admin"]), "lease": "2800ms",
                "memory": "260", "file_descriptors": "4100", "announce_every": "1200ms", "killed_after": "8s",
                "repeats": {"share": "0.2", "beyond": "202", "window": "10s"}}
        else:
            s["control"] = {"data_folder": os.path.join(self.dir, "data-%d" % i), "admin": "%s:%d" % (ip, P["admin"]),
                "calls": "%s:%d" % (ip, P["calls"]), "link_mbps": "170", "announce_every": "1200ms", "lease": "2800ms",
                "heartbeat": "80ms", "election_min": "400ms", "election_max": "800ms"}
        return s
    def write(self, kind, i, first):
        p = os.path.join(self.dir, "%s%d.jsonc" % (kind, i))
        with open(p + ".t", "w") as f: json.dump(self.settings(kind, i, first), f)
        os.replace(p + ".t", p)
        return p
    def start(self, kind, i, first=False):
        p = self.write(kind, i, first)
        out = open(os.path.join(self.dir, "%s%d.log" % (kind, i)), "a")
        self.proc[kind, i] = subprocess.Popen([DAEMON, "--settings", p], stdin=subprocess.DEVNULL, stdout=out, stderr=out)
        out.close()
        self.log("start", kind, i)
    def start_all(self):
        for i in range(len(self.cip)): self.start("c", i, True)
        for i in range(len(self.rip)): self.start("r", i, True)
    def sig(self, kind, i, s):
        p = self.proc.get((kind, i))
        if p and p.poll() is None: p.send_signal(s); self.log("signal", s.name, kind, i)
    def kill(self, kind, i):
        p = self.proc.get((kind, i))
        if p:
            if p.poll() is None: p.kill(); self.log("kill", kind, i)
            p.wait()
    def wipe(self, i): shutil.rmtree(os.path.join(self.dir, "data-%d" % i), ignore_errors=True); self.log("wipe", i)
    def close(self):
        for k in list(self.proc):
            p = self.proc[k]
            if p.poll() is None:
                try: p.send_signal(signal.SIGCONT); p.kill()
                except ProcessLookupError: pass
            p.wait()

async def http(addr, method, path, headers=None, body=b"", timeout=1.0, raw=False):
    """One request on a channel of its own. Returns (status, headers, body) or None."""
    async def go():
        r, w = await asyncio.open_connection(*addr)
        try:
            h = {"Host": "%s:%d" % addr, "Content-Length": str(len(body)), "Connection": "close"}
            h.update(headers or {})
            w.write(("%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % kv for kv in h.items()) + "\r\n").encode() + body)
            await w.drain()
            return await read_answer(r)
        finally:
            w.close()
    try: return await asyncio.wait_for(go(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, EOFError, ValueError): return None

async def read_head(r):
    line = await r.readline()
    if not line: raise EOFError
    parts = line.decode("latin1").split(None, 2)
    h = {}
    while True:
        l = await r.readline()
        if not l: raise EOFError
        if l in (b"\r\n", b"\n"): break
        k, v = l.decode("latin1").split(":", 1); h[k.strip().lower()] = v.strip()
    return parts, h

async def read_body(r, h):
    if "chunked" in h.get("transfer-encoding", ""):
        out = b""
        while True:
            n = int((await r.readline()).split(b";")[0] or b"x", 16)
            d = await r.readexactly(n + 2)
            if n == 0: return out
            out += d[:-2]
    if "content-length" in h: return await r.readexactly(int(h["content-length"]))
    return await r.read()

async def read_answer(r):
    while True:
        p, h = await read_head(r)
        if p[1] != "100": break
    return int(p[1]), h, await read_body(r, h)

def reset(w):
    import struct
    try: w.transport.get_extra_info('socket').setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    except OSError: pass
    w.transport.abort()

class Operator:
    def __init__(self, lab): self.lab = lab; self.acked = 0; self.docs = {}
    async def call(self, method, path, body=b"", deadline=20.0, at=None, tries=None):
        """Follows 307 twice, moves on after a failure. Returns (status, body, node) of the final answer or None."""
        end = now() + deadline; k = random.randrange(len(self.lab.cip)) if at is None else at
        n = 0
        while now() < end:
            a = (self.lab.cip[k % len(self.lab.cip)], self.lab.P["calls"]); p = path
            for _ in range(3):
                res = await http(a, method, p, {"Content-Type": "application/json"}, body, timeout=1.0 + len(body) / 5e6)
                if res and res[0] == 307:
                    hostport, p = res[1]["location"][7:].split("/", 1); p = "/" + p
                    host, port = hostport.split(":"); a = (host, int(port)); continue
                break
            n += 1
            if res and (res[0] < 300 or res[0] in (400, 409, 412, 413, 422)): return res[0], res[2], a
            if tries and n >= tries: return None
            k += 1
            await asyncio.sleep(0.05 + random.random() * 0.1)
        return None
    async def put(self, doc, **kw):
        body = json.dumps(doc).encode(); self.docs[doc["version"]] = body
        self.lab.log("put", doc["version"])
        r = await self.call("POST", "/v1/config/put", body, **kw)
        self.lab.log("put", doc["version"], "->", r and r[0])
        if r and r[0] == 200: self.acked = max(self.acked, doc["version"])
        return r
    async def get(self, **kw):
        r = await self.call("GET", "/v1/config/get", **kw)
        if r and r[0] == 200: return json.loads(r[1]), r[1]

class Runner:
    """A plain runner: announces itself, runs requests with `work` seconds each, answers with its seal."""
    def __init__(self, lab, service, ip, iid, work=0.02, zone="za", slots=6, born=False):
        self.lab, self.service, self.ip, self.id, self.work, self.zone, self.slots = lab, service, ip, iid, work, zone, slots
        self.port = lab.P["runner"]; self.state = "ready"; self.seq = 0; self.ran = {}; self.arrivals = []; self.server = None
        self.beats = None; self.drain_acked = None; self.target = None; self.conns = set(); self.behave = None
        self.open = 0; self.ended = None
    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)
        self.beats = asyncio.create_task(self.beat_loop())
    def beat_body(self):
        self.seq += 1
        return {"backend": self.service, "address": "%s:%d" % (self.ip, self.port), "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.seq}
    async def post(self, path, body, deadline=1.0):
        k = random.randrange(len(self.lab.cip))
        for t in range(8):
            a = self.target or (self.lab.cip[(k + t) % len(self.lab.cip)], self.lab.P["calls"]); p = path
            res = None
            for _ in range(3):
                res = await http(a, "POST", p, {"Content-Type": "application/json"}, body, timeout=1.0)
                if res and res[0] == 307:
                    hp, p = res[1]["location"][7:].split("/", 1); p = "/" + p
                    h, port = hp.split(":"); a = (h, int(port)); continue
                break
            if res and res[0] < 300:
                try: u = json.loads(res[2] or b"{}").get("heartbeatUrl")
                except ValueError: u = None
                if u: h, port = u[7:].split(":"); self.target = (h, int(port))
                return True
            self.target = None
        return False
    async def beat(self): return await self.post("/v1/instances/%s/heartbeat" % self.id, json.dumps(self.beat_body()).encode())
    async def beat_loop(self):
        while True:
            asyncio.create_task(self.beat()); await asyncio.sleep(1.2)
    async def drain(self):
        self.state = "draining"
        self.lab.log("runner", self.id, "drains")
        while not await self.beat(): await asyncio.sleep(0.1)
        self.drain_acked = now(); self.lab.log("runner", self.id, "drain acked")
    async def leave(self): return await self.post("/v1/instances/%s/leave" % self.id, b"{}")
    async def stop(self):
        if self.beats: self.beats.cancel()
        if self.server: self.server.close()
        self.ended = now()
        for w in list(self.conns): reset(w)
    async def serve(self, r, w):
        self.conns.add(w)
        try:
            while True:
                p, h = await read_head(r)
                body = b""
                if "content-length" in h or "transfer-encoding" in h: body = await read_body(r, h)
                t = now()
                rid = h.get("x-deckwind-request-id", "-")
                if p[1] == "/health":
                    w.write(b"HTTP/1.1 200 OK\r\nX-Deckwind-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id.encode()); continue
                if p[1].startswith("/v1/"):
                    w.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"); continue
                if h.get("x-deckwind-expect-instance", self.id) != self.id:
                    w.write(("HTTP/1.1 421 Misdirected Request\r\nX-Deckwind-Request-Id: %s\r\nX-Deckwind-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" % rid).encode()); continue
                self.arrivals.append((t, rid, h.get("x-deckwind-tenant")))
                if self.behave:
                    if await self.behave(self, p, h, body, r, w): return
                    continue
                self.ran.setdefault(rid, []).append(t)
                await asyncio.sleep(self.work)
                out = b"ran " + rid.encode()
                w.write(("HTTP/1.1 200 OK\r\nX-Deckwind-Request-Id: %s\r\nX-Deckwind-Response-Seal: s.%s.%d\r\nContent-Length: %d\r\n\r\n"
                         % (rid, self.id, len(out), len(out))).encode() + out)
                await w.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError, ValueError): pass
        finally:
            self.conns.discard(w); w.close()

def manifest(version, routes, services, tenants=None, idle=0):
    rs = list(routes)
    for i in range(idle):
        rs.append({"name": "idle-%d" % i, "host": "idle.example", "pathPrefix": "/idle%d/" % i, "kind": "safe", "timeoutMs": 1500,
                   "sloMs": 300, "priority": 2, "backend": services[0]["name"], "maxAttempts": 2, "public": False})
    d = {"version": version, "routes": rs, "services": services,
         "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
    if tenants is not None: d["tenants"] = tenants
    return d

def route(name, prefix, kind, backend, timeout=1500, attempts=1, public=True, **kw):
    d = {"name": name, "host": "app.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "sloMs": 300,
         "priority": 2, "backend": backend, "maxAttempts": attempts, "public": public}
    d.update(kw); return d

def rid(): return "%016x" % random.getrandbits(64)

async def ask(lab, i, path, method="POST", key=None, wait=3000, body=b"x", id_=None, timeout=None):
    h = {"Host": "app.example", "X-Deckwind-Request-Id": id_ or rid(), "X-Deckwind-Deadline-Ms": str(wait)}
    if key: h["Authorization"] = "Bearer " + key
    return await http((lab.rip[i], lab.P["front"]), method, path, h, body, timeout=timeout or wait / 1000 + 0.5)
