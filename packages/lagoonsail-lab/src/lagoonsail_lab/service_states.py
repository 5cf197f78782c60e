"""In-service states of failure domains and servers, and the resulting documents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.names import qualify
from lagoonsail_lab.deployments import write_document

if TYPE_CHECKING:
    from lagoonsail_lab.deployments import ServiceShape
    from lagoonsail_lab.parts import Backend


class ServiceStates:
    """Tracks which failure domains and backend servers are out of service."""

    __slots__ = ("_backends", "_out_of_service")

    def __init__(self, backends: dict[str, Backend]) -> None:
        """Start with everything in service.

        Args:
            backends: The backend servers by qualified name.
        """
        self._backends = backends
        self._out_of_service: set[str] = set()

    def document(self, service: ServiceShape) -> str:
        """Return the current document of a service.

        Args:
            service: The service.
        """
        backends = [b for b in self._backends.values() if b.service is service]
        return write_document(
            service,
            {backend.name: backend.relay or backend.address for backend in backends},
            frozenset(
                domain
                for domain in service.domains()
                if qualify(service.side, domain) in self._out_of_service
            ),
            frozenset(
                b.name for b in backends if b.qualified() in self._out_of_service
            ),
        )

    def set(self, name: str, state: str) -> list[ServiceShape]:
        """Take a failure domain or backend server out of service, or back in.

        Args:
            name: Its qualified name; a server takes precedence over a domain of the
                same name.
            state: `in` or `out`.

        Returns:
            The services whose documents contain it.
        """
        self._out_of_service.discard(name)
        if state == "out":
            self._out_of_service.add(name)
        affected = {
            backend.service.qualified(): backend.service
            for backend in self.backends_of(name)
        }
        return list(affected.values())

    def backends_of(self, name: str) -> list[Backend]:
        """Return a backend server, or all backend servers of a failure domain.

        Args:
            name: Qualified name of the backend server or failure domain.

        Returns:
            The backend servers.
        """
        if name in self._backends:
            return [self._backends[name]]
        return [
            backend
            for backend in self._backends.values()
            if qualify(backend.service.side, backend.failure_domain) == name
        ]
