"""What of a fleet's services is in or out of service, and the documents that say so."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.names import qualify
from lagoonsail_lab.deployments import write_document

if TYPE_CHECKING:
    from lagoonsail_lab.deployments import ServiceShape
    from lagoonsail_lab.parts import Backend


class ServiceStates:
    """Failure domains and backend servers that are out of service."""

    __slots__ = ("_backends", "_out")

    def __init__(self, backends: dict[str, Backend]) -> None:
        """Begin with everything in service.

        Args:
            backends: The backend servers by qualified name.
        """
        self._backends = backends
        self._out: set[str] = set()

    def document(self, service: ServiceShape) -> str:
        """Return the present document of a service.

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
                if qualify(service.side, domain) in self._out
            ),
            frozenset(b.name for b in backends if b.qualified() in self._out),
        )

    def set(self, name: str, state: str) -> list[ServiceShape]:
        """Take a failure domain or a backend server out, or bring it back.

        Args:
            name: Its qualified name; a server's name wins over a domain's.
            state: `in` or `out`.

        Returns:
            The services whose documents name it.
        """
        self._out.discard(name)
        if state == "out":
            self._out.add(name)
        touched = {
            backend.service.qualified(): backend.service
            for backend in self.backends_of(name)
        }
        return list(touched.values())

    def backends_of(self, name: str) -> list[Backend]:
        """Return a backend server, or those of a failure domain.

        Args:
            name: Qualified name of either.

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
