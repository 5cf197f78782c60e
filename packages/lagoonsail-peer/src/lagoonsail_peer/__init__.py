"""Authenticated message streams between routers."""

import os

# Read by gRPC when it is first imported: it must not write to standard error.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
