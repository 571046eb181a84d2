"""A serving system for language models whose replicas span several VMs."""

from pimentogap import errors, kernel, schema, types
from pimentogap.kernel import Clock, Kernel

__version__ = "0.1.0"

__all__ = ["Clock", "Kernel", "errors", "kernel", "schema", "types"]
