"""Stand-ins for what pimentogap meets: the platform, model engines, plain services.

They are for development and tests, and no part of the product imports them.
"""
