"""Clock, errors, invariants, metrics, messages between routers, and event timeline."""
