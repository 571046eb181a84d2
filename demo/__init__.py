"""A demonstration of both sample deployments."""
