"""A fleet of processes: stand-in services, relays and routers."""

from __future__ import annotations

import shutil
import signal
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_lab.parts import (
    Backend,
    Relay,
    Router,
    assign_source_addresses,
    make_backends,
    make_host_entries,
    make_routers,
)
from lagoonsail_lab.process_calls import ProcessCalls
from lagoonsail_lab.process_start import address_of, run_concurrently, start_listening
from lagoonsail_lab.processes import Process, ProcessError, free_port, stop_all
from lagoonsail_lab.router_settings import ROUTER_PREFIX, write_router_settings
from lagoonsail_lab.router_start import choose_ports, start_router
from lagoonsail_lab.service_states import ServiceStates

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_lab.deployments import Deployment, ServiceShape

READY_TIMEOUT_MS = 20000.0
"""Time allowed for all routers to become ready, milliseconds."""
BACKEND_MODULES = {
    "engine": "lagoonsail_standins.model_engine",
    "plain": "lagoonsail_standins.plain_service",
}
"""Module that implements the backend servers, by kind of service."""
ROUTER_MODULE = "lagoonsail_router"
"""Module that is run as a router by default."""


class Fleet:
    """Runs stand-in services and routers as processes, with files in one directory."""

    __slots__ = (
        "_process_calls",
        "_is_temporary_directory",
        "_processes",
        "_relayed_backends",
        "_relayed_peers",
        "_relayed_store",
        "_router_module",
        "_settings",
        "_service_states",
        "backends",
        "deployments",
        "directory",
        "host_list",
        "relays",
        "routers",
        "store",
    )

    backends: dict[str, Backend]
    """Backend servers by qualified name."""
    deployments: list[Deployment]
    """The deployments that the fleet runs."""
    directory: Path
    """Contains the settings and the output of all processes."""
    host_list: str
    """Address of the host list."""
    relays: dict[str, Relay]
    """Relays by `store-ROUTER`, `peers-ROUTER` or `servers-SIDE`."""
    routers: dict[str, Router]
    """Routers by name."""
    store: str
    """Address of the key-value service itself, bypassing any relay."""

    def __init__(
        self,
        deployments: list[Deployment],
        directory: Path | None = None,
        settings: dict[str, dict[str, str | int]] | None = None,
        relayed_store: Iterable[str] = (),
        relayed_peers: Iterable[str] = (),
        router_module: str = ROUTER_MODULE,
        relayed_backends: Iterable[str] = (),
    ) -> None:
        """Prepare a fleet without starting any process.

        Args:
            deployments: The deployments to run.
            directory: Directory for all files; if None, a temporary one that `stop`
                removes.
            settings: Additional settings of all routers by section and key.
            relayed_store: Routers that reach the key-value service through a relay.
            relayed_peers: Routers that other routers reach through a relay.
            router_module: Module that is run as a router.
            relayed_backends: Backend servers, by qualified name, that routers reach
                through a relay. Each router then gets its own source address.
        """
        self.deployments = deployments
        self._is_temporary_directory = directory is None
        self.directory = directory or Path(tempfile.mkdtemp(prefix="lagoonsail-lab-"))
        self._settings = settings or {}
        self._relayed_store = frozenset(relayed_store)
        self._relayed_peers = frozenset(relayed_peers)
        self._relayed_backends = frozenset(relayed_backends)
        self._router_module = router_module
        self._process_calls = ProcessCalls()
        self._processes: list[Process] = []
        self.store = ""
        self.host_list = ""
        self.relays = {}
        self.backends = {
            backend.qualified(): backend
            for deployment in deployments
            for service in deployment.services
            for backend in make_backends(service)
        }
        self._service_states = ServiceStates(self.backends)
        self.routers = {
            router.name: router
            for deployment in deployments
            for router in make_routers(deployment)
        }
        if self._relayed_backends:
            assign_source_addresses(self.routers.values())

    def __enter__(self) -> Fleet:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_exception: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start all processes and wait until all routers are ready.

        Raises:
            ProcessError: If a process does not become ready.
        """
        self.start_stand_ins()
        self.start_routers()

    def start_stand_ins(self) -> None:
        """Start the platform services and backend servers and publish the documents.

        Raises:
            ProcessError: If a process does not become ready.
        """

        def start_platform(name: str) -> str:
            process = self._start_listening(name, f"lagoonsail_standins.{name}", {})
            return address_of(process)

        store = eventlet.spawn(start_platform, "key_value")
        host_list = eventlet.spawn(start_platform, "host_list")
        run_concurrently(self._start_backend, self.backends.values())
        self.store = store.wait()
        self.host_list = host_list.wait()
        run_concurrently(self._relay_backends, self.deployments)
        self.put_documents()

    def start_routers(self) -> None:
        """Start all routers and wait until they are ready.

        Raises:
            ProcessError: If a router does not become ready.
        """
        for router in self.routers.values():
            choose_ports(router)
        run_concurrently(self._add_relays, self.routers.values())
        self.publish_hosts()
        run_concurrently(self._start_router, self.routers.values())
        self.wait_ready()
        for name in sorted(self._relayed_peers):
            self.redirect_peers(name)

    def _start_listening(
        self, name: str, module: str, options: dict[str, str | int | float | bool]
    ) -> Process:
        return start_listening(
            name, module, options, self.directory, self._processes.append
        )

    def _start_backend(self, backend: Backend) -> None:
        service = backend.service
        options = {"name": backend.name, "slots": service.slots, **service.options}
        if service.kind == "engine":
            options.setdefault("checks_fencing", True)
        name = backend.qualified().replace("/", "-")
        backend.process = self._start_listening(
            name, BACKEND_MODULES[service.kind], options
        )
        backend.address = address_of(backend.process)

    def _add_relays(self, router: Router) -> None:
        if router.name in self._relayed_store:
            self._add_relay(f"store-{router.name}", self.store)
        if router.name in self._relayed_peers:
            self._add_relay(f"peers-{router.name}", router.peers)

    def _add_relay(self, name: str, target: str) -> None:
        control = free_port()
        options = {"target": target, "control_port": control}
        process = self._start_listening(name, "lagoonsail_standins.relay", options)
        self.relays[name] = Relay(address_of(process), f"127.0.0.1:{control}", process)

    def _relay_backends(self, deployment: Deployment) -> None:
        """Start one relay process in front of the relayed backend servers of a side."""
        backends = [
            backend
            for name, backend in self.backends.items()
            if name in self._relayed_backends
            and backend.service.side == deployment.side
        ]
        if not backends:
            return
        name = f"servers-{deployment.side}"
        self._add_relay(name, ",".join(backend.address for backend in backends))
        ports = self.relays[name].process.wait_listening()["ports"]
        for backend, port in zip(backends, ports, strict=True):
            backend.relay = f"127.0.0.1:{port}"

    def _start_router(self, router: Router) -> None:
        # A relay keeps forwarding to the port it was started with, so a router behind
        # one must keep its ports.
        has_fixed_ports = f"peers-{router.name}" in self.relays
        start_router(
            router,
            self._router_module,
            self.directory,
            self.write_settings,
            self._processes.append,
            None if has_fixed_ports else self.publish_hosts,
        )

    def write_settings(self, router: Router) -> str:
        """Return the text of a router's settings file.

        Args:
            router: The router, with its addresses set.

        Returns:
            INI text.
        """
        store = self.relays.get(f"store-{router.name}")
        peers = self.relays.get(f"peers-{router.name}")
        return write_router_settings(
            router,
            store.address if store else self.store,
            self.host_list,
            peers.address if peers else "",
            self._settings,
        )

    def wait_ready(self, names: Iterable[str] | None = None) -> None:
        """Wait until routers are ready for callers.

        Args:
            names: Routers to wait for; all if None.

        Raises:
            ProcessError: If a router is not ready in time.
        """
        clock = Clock()
        deadline_ms = clock.now_ms() + READY_TIMEOUT_MS
        pending = list(self.routers if names is None else names)
        while True:
            pending = [name for name in pending if not self.is_ready(name)]
            if not pending:
                return
            if clock.now_ms() > deadline_ms:
                break
            eventlet.sleep(0.05)
        errors = self.routers[pending[0]].process.errors()[-2000:]
        raise ProcessError(
            f"routers not ready in time: {' '.join(pending)}; first: {errors}",
            "read their output in the directory of the fleet",
        )

    def stop(self) -> None:
        """Stop all processes, routers first, and remove a temporary directory."""
        routers = [router.process for router in self.routers.values()]
        stop_all([process for process in routers if process])
        stop_all(self._processes)
        self._process_calls.close()
        if self._is_temporary_directory:
            shutil.rmtree(self.directory, ignore_errors=True)

    def fetch(
        self, method: str, address: str, path: str, value: object = None
    ) -> dict | list | Unavailable:
        """Call one of the fleet's processes, as `ProcessCalls.fetch` does."""
        return self._process_calls.fetch(method, address, path, value)

    def put_documents(self) -> None:
        """Write all service documents to the key-value service.

        Raises:
            ProcessError: If the service does not accept a document.
        """
        for deployment in self.deployments:
            for service in deployment.services:
                self._put_document(service)

    def document(self, service: ServiceShape) -> str:
        """Return the current document of a service, as the fleet would write it."""
        return self._service_states.document(service)

    def _put_document(self, service: ServiceShape) -> None:
        key = f"{ROUTER_PREFIX}documents/{service.qualified()}"
        self._process_calls.put_document(self.store, key, self.document(service))

    def redirect_peers(self, name: str) -> None:
        """Make other routers dial a router's relay, by editing its member record.

        Within a region only the router with the lower name dials, so the relay of the
        last router carries all its streams and that of the first carries none.
        The router rewrites its record when it acquires a new lease or leaves; call
        this method again after that.

        Args:
            name: A router with a relayed peers address.

        Raises:
            ProcessError: If the record cannot be read or written.
        """
        address = self.relays[f"peers-{name}"].address
        key = f"{ROUTER_PREFIX}members/{name}"
        self._process_calls.redirect_member(self.store, key, address)

    def set_state(self, name: str, state: str) -> None:
        """Take a failure domain or backend server out of service, or back in.

        Rewrites only the documents that contain it.

        Args:
            name: Its qualified name; a server takes precedence over a domain of the
                same name.
            state: `in` or `out`.
        """
        for service in self._service_states.set(name, state):
            self._put_document(service)

    def backends_of(self, name: str) -> list[Backend]:
        """Return a backend server, or all backend servers of a failure domain.

        Args:
            name: Qualified name of the backend server or failure domain.

        Returns:
            The backend servers.
        """
        return self._service_states.backends_of(name)

    def publish_hosts(self) -> None:
        """Publish the host list according to the routers' host states."""
        hosts = make_host_entries(self.routers.values(), self.relays)
        self._process_calls.send_control(self.host_list, {"hosts": hosts})

    def is_ready(self, name: str) -> bool:
        """Return whether a router reports itself ready for callers."""
        return self._process_calls.is_ready(self.routers[name].admin)

    def status(self, name: str) -> dict | Unavailable:
        """Return the content of a router's `/status`."""
        return self.fetch("GET", self.routers[name].admin, "/status")

    def record(self, name: str) -> dict | Unavailable:
        """Return the run record of a backend server, by its qualified name."""
        return self.fetch("GET", self.backends[name].address, "/_record")

    def records(self) -> dict[str, dict]:
        """Return the run record of each backend server that answers."""
        records = {name: self.record(name) for name in self.backends}
        return {name: record for name, record in records.items() if record}

    def control_backend(self, name: str, **orders: object) -> None:
        """Send control values to a backend server's `/_control`."""
        self._process_calls.send_control(self.backends[name].address, orders)

    def control_store(self, **orders: object) -> None:
        """Send control values to the key-value service's `/_control`."""
        self._process_calls.send_control(self.store, orders)

    def control_relay(self, name: str, **orders: object) -> None:
        """Send control values to a relay's `/_control`."""
        self._process_calls.send_control(self.relays[name].control, orders)

    def kill_router(self, name: str) -> None:
        """Kill a router with SIGKILL."""
        self.routers[name].process.kill()

    def freeze_router(self, name: str) -> None:
        """Suspend a router's process with SIGSTOP."""
        self.routers[name].process.signal(signal.SIGSTOP)

    def thaw_router(self, name: str) -> None:
        """Resume a suspended router with SIGCONT."""
        self.routers[name].process.signal(signal.SIGCONT)

    def stop_router(self, name: str, timeout_ms: float = 60000.0) -> int | None:
        """Stop a router gracefully with SIGTERM, or kill it after a timeout.

        Args:
            name: The router.
            timeout_ms: Time allowed for stopping, milliseconds.

        Returns:
            Its exit code.
        """
        return self.routers[name].process.stop(timeout_ms)

    def restart_router(self, name: str, timeout_ms: float = 60000.0) -> None:
        """Stop a router if it runs, restart it on the same ports and wait for it.

        Args:
            name: The router.
            timeout_ms: Time allowed for stopping, milliseconds.

        Raises:
            ProcessError: If it does not become ready.
        """
        process = self.routers[name].process
        process.stop(timeout_ms)
        process.start()
        process.wait_listening()
        self.wait_ready([name])
        if name in self._relayed_peers:
            self.redirect_peers(name)
