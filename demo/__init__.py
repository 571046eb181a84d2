"""A demonstration with both deployments of the brief."""
