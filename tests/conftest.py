"""The same verdict every time: hypothesis draws the same examples at each run and has no deadline."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed", derandomize=True, database=None, deadline=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile("fixed")
