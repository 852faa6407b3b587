"""A small deployment on loopback addresses, and stand-ins for its operator, servers and clients.

The processes under review are started with the command of deploy/system.toml and with settings
as deploy/settings.jsonc.in gives them once its gaps are filled. Everything else is here: an
operator that follows PROTOCOL.md ("The operator's API"), and plain servers that announce
themselves, keep their channels, and note what they ran. Only the Python standard library is used.
"""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "release", "deckwindd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {text}\n")
            self.file.flush()


class Process:
    """One process of the system, which can be killed, frozen and started again."""

    def __init__(self, deployment, name, ip, settings):
        self.deployment = deployment
        self.name = name
        self.ip = ip
        self.settings = settings
        self.popen = None
        self.folder = os.path.join(deployment.folder, name)
        os.makedirs(self.folder)
        self.data = os.path.join(self.folder, "data")
        self.log_path = os.path.join(self.folder, "log")

    def start(self):
        path = os.path.join(self.folder, "settings.conf")
        with open(path, "w") as f:
            json.dump(self.settings, f, indent=2)
        log = open(self.log_path, "a")
        self.popen = subprocess.Popen(
            [DAEMON, "--settings", path], stdout=log, stderr=log, cwd=ROOT,
            env={k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")},
        )
        log.close()
        self.deployment.record.note(f"{self.name} started")

    def signal(self, number):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        """As a loss of power or SIGKILL does it."""
        if self.popen and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()
            self.deployment.record.note(f"{self.name} killed")

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)
        self.deployment.record.note(f"{self.name} lost its disk")

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None


def free_port(ips):
    """A port that is free for TCP and UDP on all these addresses."""
    for _ in range(200):
        port = random.randint(20000, 31000)
        sockets = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    s = socket.socket(socket.AF_INET, kind)
                    sockets.append(s)
                    s.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CannotRun("no free port")


class Deployment:
    """Control replicas and routers, with the figures of sites/cuidar-escala.toml."""

    def __init__(self, case_folder, cores=5, spare_cores=0, fronts=2, log_level="info"):
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("the daemon is not built")
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="deckwind-review-")
        net = random.randint(64, 250)
        core_ips = [f"127.{net}.1.{10 + i}" for i in range(cores + spare_cores)]
        front_ips = [f"127.{net}.2.{10 + i}" for i in range(fronts)]
        self.net = net
        ips = core_ips + front_ips
        ports = set()
        while len(ports) < 5:
            ports.add(free_port(ips))
        self.peer_port, self.calls_port, self.admin_port, self.front_port, self.ready_port = ports
        self.seeds = [f"{ip}:{self.calls_port}" for ip in core_ips[:3]]
        self.log_level = log_level
        self.cores = [
            Process(self, f"core-{i + 1}", ip, self.core_settings(f"core-{i + 1}", ip, True))
            for i, ip in enumerate(core_ips)
        ]
        self.spares = self.cores[cores:]
        self.cores = self.cores[:cores]
        self.fronts = [
            Process(self, f"front-{i + 1}", ip, self.front_settings(f"front-{i + 1}", ip))
            for i, ip in enumerate(front_ips)
        ]

    def common(self, name, ip, first_start):
        return {
            "vm": name,
            "data_centre": "recife-a",
            "seeds": {
                "ip": ip,
                "peer_port": self.peer_port,
                "control": self.seeds,
                "first_start": first_start,
                "lost_at_once": "2",
            },
            "log": {"level": self.log_level},
        }

    def core_settings(self, name, ip, first_start):
        settings = self.common(name, ip, first_start)
        settings["control"] = {
            "data_folder": os.path.join(self.folder, name, "data"),
            "admin": f"{ip}:{self.admin_port}",
            "calls": f"{ip}:{self.calls_port}",
            "link_mbps": "170.0",
            "announce_every": "1200ms",
            "lease": "2800ms",
            "heartbeat": "80ms",
            "election_min": "400ms",
            "election_max": "800ms",
        }
        return settings

    def front_settings(self, name, ip):
        settings = self.common(name, ip, False)
        settings["router"] = {
            "routes": f"{ip}:{self.front_port}",
            "ready": f"{ip}:{self.ready_port}",
            "peers": f"{ip}:{self.peer_port}",
            "admin": f"{ip}:{self.admin_port}",
            "lease": "2800ms",
            "memory": "260",
            "file_descriptors": "4100",
            "announce_every": "1200ms",
            "killed_after": "8s",
            "repeats": {"share": "0.2", "beyond": "202", "window": "10s"},
        }
        return settings

    def start(self):
        for process in self.cores + self.fronts:
            process.start()
        # The whole system starts for the first time only now.
        for process in self.cores + self.spares:
            process.settings["seeds"]["first_start"] = False

    def stop(self):
        for process in self.cores + self.spares + self.fronts:
            process.signal(signal.SIGCONT)
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def status(self, core, timeout=0.3):
        """The replica's own view of the members; None where it does not lead."""
        try:
            conn = http.client.HTTPConnection(core.ip, self.admin_port, timeout=timeout)
            conn.request("GET", "/v1/status")
            answer = conn.getresponse()
            body = answer.read()
            conn.close()
            return json.loads(body) if answer.status == 200 else None
        except (OSError, http.client.HTTPException, ValueError):
            return None

    def leader(self, within=10.0):
        """The core that leads, with its status."""
        deadline = time.monotonic() + within
        while time.monotonic() < deadline:
            for core in self.cores + self.spares:
                if core.is_running():
                    status = self.status(core)
                    if status and status["leader"] == as_slot(core.ip):
                        return core, status
            time.sleep(0.05)
        return None, None


def as_slot(ip):
    a, b, c, d = (int(x) for x in ip.split("."))
    return (a << 24) | (b << 16) | (c << 8) | d


def votes(status):
    """Votes by slot, from a status; a slot with two identities counts as its newest."""
    found = {}
    for replica in status["replicas"]:
        slot = int(str(replica["id"]).split(":")[0])
        found.setdefault(slot, []).append(replica["votes"])
    return found


class Operator:
    """Sends manifests and reads them back, as PROTOCOL.md says: any node, two redirects, a
    second for an answer, and the same call again until it is clear."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record

    def call(self, core, method, path, body=None, timeout=1.0):
        host, port = core.ip, self.deployment.calls_port
        for _ in range(3):
            try:
                conn = http.client.HTTPConnection(host, port, timeout=timeout)
                conn.request(method, path, body, {"Content-Type": "application/json"})
                answer = conn.getresponse()
                data = answer.read()
                location = answer.getheader("Location")
                conn.close()
            except (OSError, http.client.HTTPException):
                return None, b""
            if answer.status != 307 or not location:
                return answer.status, data
            host, port = location.split("//")[1].split("/")[0].split(":")
            port = int(port)
        return 307, b""

    def nodes(self):
        nodes = self.deployment.cores + [s for s in self.deployment.spares if s.popen]
        random.shuffle(nodes)
        return nodes

    def put(self, manifest, within=20.0):
        """Sends until it is acknowledged. Returns whether it was."""
        body = json.dumps(manifest)
        deadline = time.monotonic() + within
        pause = 0.1
        while time.monotonic() < deadline:
            for core in self.nodes():
                status, _ = self.call(core, "POST", "/v1/config/put", body)
                if status == 200:
                    self.record.note(f"operator: version {manifest['version']} acknowledged")
                    return True
                if status in (400, 409, 412, 413, 422):
                    self.record.note(f"operator: version {manifest['version']} refused: {status}")
                    return False
                if time.monotonic() > deadline:
                    break
            time.sleep(pause)
            pause = min(pause * 1.5, 0.8)
        self.record.note(f"operator: version {manifest['version']} has no acknowledgement")
        return False

    def read(self, within):
        """Reads the manifest back, at any node, for up to this long. Returns its version."""
        deadline = time.monotonic() + within
        answers = {}
        while time.monotonic() < deadline:
            for core in self.nodes():
                status, body = self.call(core, "GET", "/v1/config/get")
                answers[status] = answers.get(status, 0) + 1
                if status == 200:
                    version = json.loads(body)["version"]
                    self.record.note(f"operator: reads version {version} at {core.name}")
                    return version
            time.sleep(0.2)
        self.record.note(f"operator: no manifest for {within:.0f} s; answers: {answers}")
        return None


class Server:
    """A plain server: runs each request that names it, one per thread, and notes it."""

    def __init__(self, deployment, service, number, work_s=0.02):
        self.deployment = deployment
        self.service = service
        self.id = f"i-{random.getrandbits(40):010x}"
        self.work_s = work_s
        self.ip = f"127.{deployment.net}.3.{10 + number}"
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.ip, 0))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.stopped = False
        self.runs = {}
        self.lock = threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    def announce_forever(self):
        threading.Thread(target=self._announce, daemon=True).start()

    def _announce(self):
        while not self.stopped:
            self.beat("ready")
            time.sleep(1.2)

    def beat(self, state, tries=6):
        """One ping: the next node is called until one acknowledges it."""
        for _ in range(tries):
            self.seq += 1
            body = json.dumps({
                "backend": self.service, "address": f"{self.ip}:{self.port}",
                "zone": "recife-a", "version": "v1", "slots": 6, "state": state,
                "coldLeftMs": 0, "seq": self.seq, "born": self.born,
            })
            core = random.choice(self.deployment.cores)
            status, _ = Operator(self.deployment).call(
                core, "POST", f"/v1/instances/{self.id}/heartbeat", body)
            if status and 200 <= status < 300:
                return True
        return False

    def accept(self):
        while not self.stopped:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = conn.makefile("rb")
        try:
            while not self.stopped:
                head = read_head(reader)
                if head is None:
                    return
                line, headers = head
                length = int(headers.get("content-length", "0"))
                body = reader.read(length)
                conn.sendall(self.answer(line, headers, body))
        except OSError:
            pass
        finally:
            conn.close()

    def answer(self, line, headers, body):
        request = headers.get("x-deckwind-request-id", "")
        if line.split(" ")[1] == "/health":
            return reply("200 OK", request, [("X-Deckwind-Instance-Id", self.id)], b"ok")
        if headers.get("x-deckwind-expect-instance", self.id) != self.id:
            return reply("421 Misdirected Request", request, [], b"")
        with self.lock:
            self.runs[request] = self.runs.get(request, 0) + 1
        time.sleep(self.work_s)
        seal = ("X-Deckwind-Response-Seal", f"{self.id[2:]}.{request}")
        return reply("200 OK", request, [seal], f"{request}\n".encode() * 20)


def read_head(reader):
    line = reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = reader.readline()
        if not field:
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def reply(status, request, fields, body):
    lines = [f"HTTP/1.1 {status}", f"X-Deckwind-Request-Id: {request}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request_once(deployment, front, method, host, path, key, body=b"", budget_ms=3000,
                 request=None):
    """One try of a client on a channel of its own. Returns id, status and body."""
    request = request or f"{random.getrandbits(64):016x}"
    headers = {"Host": host, "X-Deckwind-Request-Id": request,
               "X-Deckwind-Deadline-Ms": str(budget_ms)}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    try:
        conn = http.client.HTTPConnection(front.ip, deployment.front_port,
                                          timeout=budget_ms / 1000 + 1)
        conn.request(method, path, body or None, headers)
        answer = conn.getresponse()
        data = answer.read()
        conn.close()
        return request, answer.status, data
    except (OSError, http.client.HTTPException) as e:
        return request, type(e).__name__, b""


def manifest(version, service="app1", host="site.example", extra_routes=0, key="k1-secret"):
    """A manifest with one plain service and a safe and an unsafe route to it."""
    def route(name, prefix, kind, attempts):
        return {"name": name, "host": host, "pathPrefix": prefix, "kind": kind,
                "timeoutMs": 1500, "sloMs": 300, "priority": 2, "backend": service,
                "maxAttempts": attempts, "public": False}
    routes = [route("r-safe", "/safe/", "safe", 2), route("r-once", "/once/", "unsafe", 1)]
    routes += [route(f"r-{version}-{i}", f"/x{version}-{i}/", "safe", 2)
               for i in range(extra_routes)]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": service, "healthPath": "/health", "maxConns": 110,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "t1", "apiKeys": [key], "priority": 1}],
    }


def run(case_folder, case):
    """Runs a case. Exits with 1 if it says that the rule was broken, 0 if it held, 2 if the
    case could not run."""
    def on_term(*_):
        raise KeyboardInterrupt
    signal.signal(signal.SIGTERM, on_term)
    code, holder = 2, []
    try:
        code = 1 if case(holder) else 0
    except CannotRun as e:
        print(f"cannot run: {e}", file=sys.stderr)
    except KeyboardInterrupt:
        print("stopped", file=sys.stderr)
    finally:
        for deployment in holder:
            deployment.stop()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
