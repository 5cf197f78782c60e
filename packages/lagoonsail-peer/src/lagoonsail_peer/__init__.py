"""Authenticated message streams between routers."""

import os

# gRPC reads this at its first import. It must not write to standard error.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
