"""A fleet of real processes: stand-ins, relays and routers."""

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
    describe_hosts,
    give_sources,
    make_backends,
    make_routers,
)
from lagoonsail_lab.process_calls import ProcessCalls
from lagoonsail_lab.process_start import address_of, for_each, start_listening
from lagoonsail_lab.processes import Process, ProcessError, free_port, stop_all
from lagoonsail_lab.router_settings import ROUTER_PREFIX, write_router_settings
from lagoonsail_lab.router_start import choose_ports, start_router
from lagoonsail_lab.service_states import ServiceStates

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_lab.deployments import Deployment, ServiceShape

READY_MS = 20000.0
"""Time for all routers to be ready, milliseconds."""
STAND_INS = {
    "engine": "lagoonsail_standins.model_engine",
    "plain": "lagoonsail_standins.plain_service",
}
"""Module of the backend servers by kind of service."""
ROUTER_MODULE = "lagoonsail_router"
"""Module of the router."""


class Fleet:
    """Stand-ins and routers as processes, with files in one directory."""

    __slots__ = (
        "_calls",
        "_is_own_directory",
        "_processes",
        "_relayed_backends",
        "_relayed_peers",
        "_relayed_store",
        "_router_module",
        "_settings",
        "_states",
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
    """The deployments that run."""
    directory: Path
    """Holds settings, documents and the output of all processes."""
    host_list: str
    """Address of the host list."""
    relays: dict[str, Relay]
    """Relays by `store-ROUTER`, `peers-ROUTER` or `servers-SIDE`."""
    routers: dict[str, Router]
    """Routers by name."""
    store: str
    """Address of the key-value service itself, without a relay."""

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
        """Prepare a fleet; nothing is started.

        Args:
            deployments: What runs.
            directory: Where files go; a temporary one, removed by `stop`, if None.
            settings: Further settings of all routers by section and key.
            relayed_store: Routers that reach the key-value service through a relay.
            relayed_peers: Routers that other routers reach through a relay.
            router_module: What is run as a router.
            relayed_backends: Backend servers, by qualified name, that routers reach
                through a relay. Each router then has a source address of its own.
        """
        self.deployments = deployments
        self._is_own_directory = directory is None
        self.directory = directory or Path(tempfile.mkdtemp(prefix="lagoonsail-lab-"))
        self._settings = settings or {}
        self._relayed_store = frozenset(relayed_store)
        self._relayed_peers = frozenset(relayed_peers)
        self._relayed_backends = frozenset(relayed_backends)
        self._router_module = router_module
        self._calls = ProcessCalls()
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
        self._states = ServiceStates(self.backends)
        self.routers = {
            router.name: router
            for deployment in deployments
            for router in make_routers(deployment)
        }
        if self._relayed_backends:
            give_sources(self.routers.values())

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
        """Start everything and wait until all routers are ready.

        Raises:
            ProcessError: If a process does not get ready.
        """
        self.start_stand_ins()
        self.start_routers()

    def start_stand_ins(self) -> None:
        """Start the platform and the backend servers, and publish documents and hosts.

        Raises:
            ProcessError: If a process does not get ready.
        """

        def start_platform(name: str) -> str:
            process = self._start_listening(name, f"lagoonsail_standins.{name}", {})
            return address_of(process)

        store = eventlet.spawn(start_platform, "key_value")
        host_list = eventlet.spawn(start_platform, "host_list")
        for_each(self._start_backend, self.backends.values())
        self.store = store.wait()
        self.host_list = host_list.wait()
        for_each(self._relay_backends, self.deployments)
        self.put_documents()

    def start_routers(self) -> None:
        """Start all routers and wait until they are ready.

        Raises:
            ProcessError: If one does not get ready.
        """
        for router in self.routers.values():
            choose_ports(router)
        for_each(self._add_relays, self.routers.values())
        self.publish_hosts()
        for_each(self._start_router, self.routers.values())
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
        backend.process = self._start_listening(name, STAND_INS[service.kind], options)
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
        """Put one relay process before the relayed backend servers of a side."""
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
        # A relay goes on to the port that it was started with.
        is_fixed = f"peers-{router.name}" in self.relays
        start_router(
            router,
            self._router_module,
            self.directory,
            self.write_settings,
            self._processes.append,
            None if is_fixed else self.publish_hosts,
        )

    def write_settings(self, router: Router) -> str:
        """Return the settings of a router.

        Args:
            router: The router, with its addresses.

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
            names: Which routers; all if None.

        Raises:
            ProcessError: If the time is over.
        """
        clock = Clock()
        until_ms = clock.now_ms() + READY_MS
        waiting = list(self.routers if names is None else names)
        while True:
            waiting = [name for name in waiting if not self.is_ready(name)]
            if not waiting:
                return
            if clock.now_ms() > until_ms:
                break
            eventlet.sleep(0.05)
        errors = self.routers[waiting[0]].process.errors()[-2000:]
        raise ProcessError(
            f"routers not ready: {' '.join(waiting)}; first: {errors}",
            "look at their files in the directory of the fleet",
        )

    def stop(self) -> None:
        """Stop all processes: routers first, then all else; remove own files."""
        routers = [router.process for router in self.routers.values()]
        stop_all([process for process in routers if process])
        stop_all(self._processes)
        self._calls.close()
        if self._is_own_directory:
            shutil.rmtree(self.directory, ignore_errors=True)

    def fetch(
        self, method: str, address: str, path: str, value: object = None
    ) -> dict | list | Unavailable:
        """Call one of the fleet's processes, as `ProcessCalls.fetch` does."""
        return self._calls.fetch(method, address, path, value)

    def put_documents(self) -> None:
        """Write all service documents to the key-value service.

        Raises:
            ProcessError: If it does not take one.
        """
        for deployment in self.deployments:
            for service in deployment.services:
                self._put_document(service)

    def document(self, service: ServiceShape) -> str:
        """Return the present document of a service, as the fleet would write it."""
        return self._states.document(service)

    def _put_document(self, service: ServiceShape) -> None:
        key = f"{ROUTER_PREFIX}documents/{service.qualified()}"
        self._calls.put_document(self.store, key, self.document(service))

    def redirect_peers(self, name: str) -> None:
        """Let other routers dial a router's relay, by editing its member record.

        Within a region only the router with the lower name dials, so the relay of the
        last one carries all its streams and that of the first one carries none.
        The router writes its record anew when it takes a new lease or leaves; then
        this must be done again.

        Args:
            name: One of the routers with a relayed peers address.

        Raises:
            ProcessError: If the record cannot be read or written.
        """
        address = self.relays[f"peers-{name}"].address
        key = f"{ROUTER_PREFIX}members/{name}"
        self._calls.redirect_member(self.store, key, address)

    def set_state(self, name: str, state: str) -> None:
        """Take a failure domain or a backend server out, or bring it back.

        Rewrites only the documents that name it.

        Args:
            name: Its qualified name; a server's name wins over a domain's.
            state: `in` or `out`.
        """
        for service in self._states.set(name, state):
            self._put_document(service)

    def backends_of(self, name: str) -> list[Backend]:
        """Return a backend server, or those of a failure domain.

        Args:
            name: Qualified name of either.

        Returns:
            The backend servers.
        """
        return self._states.backends_of(name)

    def publish_hosts(self) -> None:
        """Write the host list from the routers' host states."""
        hosts = describe_hosts(self.routers.values(), self.relays)
        self._calls.order(self.host_list, {"hosts": hosts})

    def is_ready(self, name: str) -> bool:
        """Return whether a router says that callers may come."""
        return self._calls.is_ready(self.routers[name].admin)

    def status(self, name: str) -> dict | Unavailable:
        """Return what a router's `/status` shows."""
        return self.fetch("GET", self.routers[name].admin, "/status")

    def records(self) -> dict[str, dict]:
        """Return the record of each backend server that answers."""
        records = {
            name: self.fetch("GET", backend.address, "/_record")
            for name, backend in self.backends.items()
        }
        return {name: record for name, record in records.items() if record}

    def control_backend(self, name: str, **orders: object) -> None:
        """Give orders to a backend server's `/_control`."""
        self._calls.order(self.backends[name].address, orders)

    def control_store(self, **orders: object) -> None:
        """Give orders to the key-value service's `/_control`."""
        self._calls.order(self.store, orders)

    def control_relay(self, name: str, **orders: object) -> None:
        """Give orders to a relay's `/_control`."""
        self._calls.order(self.relays[name].control, orders)

    def kill_router(self, name: str) -> None:
        """End a router at once."""
        self.routers[name].process.kill()

    def freeze_router(self, name: str) -> None:
        """Stop a router's process without ending it."""
        self.routers[name].process.signal(signal.SIGSTOP)

    def thaw_router(self, name: str) -> None:
        """Let a frozen router go on."""
        self.routers[name].process.signal(signal.SIGCONT)

    def stop_router(self, name: str, bound_ms: float = 60000.0) -> int | None:
        """Stop a router as planned.

        Args:
            name: The router.
            bound_ms: Time that it has, milliseconds.

        Returns:
            Its exit code.
        """
        return self.routers[name].process.stop(bound_ms)

    def restart_router(self, name: str, bound_ms: float = 60000.0) -> None:
        """Stop a router if it runs, start it on the same ports and wait for it.

        Args:
            name: The router.
            bound_ms: Time that it has for stopping, milliseconds.

        Raises:
            ProcessError: If it does not get ready.
        """
        process = self.routers[name].process
        process.stop(bound_ms)
        process.start()
        process.wait_listening()
        self.wait_ready([name])
        if name in self._relayed_peers:
            self.redirect_peers(name)
