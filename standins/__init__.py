"""Stand-ins for the systems around pimentogap: platform, model engines, plain services.

They are for development and tests; the package ``pimentogap`` doesn't import them.
"""
