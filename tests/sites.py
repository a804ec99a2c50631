"""Small site settings for tests."""

from dogwoodlever.settings import (
    BackendServer,
    DataCentre,
    Limits,
    Operation,
    Service,
    Site,
    Team,
    Worker,
)

CENTRES = ("foreshore", "fremantle", "northbridge")


def make_site(workers: int = 6, slots: int = 8, limits: Limits | None = None) -> Site:
    """Return a site with one backend server on each worker."""
    machines = {
        f"w{i + 1:02d}": Worker(CENTRES[i % 3], f"r{i % 3}", "127.0.0.1", 100 + i)
        for i in range(workers)
    }
    servers = {
        f"s{i + 1:02d}": BackendServer(f"w{i + 1:02d}", "127.0.0.1", 500 + i, slots)
        for i in range(workers)
    }
    operations = {"book": Operation(False), "quote": Operation(True)}
    dispatch = Service(0.25, operations, servers)
    return Site(
        "test",
        {name: DataCentre("perth") for name in CENTRES},
        machines,
        {"dispatch": dispatch},
        {"alpha": Team(24.0), "beta": Team(24.0)},
        limits or Limits(),
    )
