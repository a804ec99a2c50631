"""Assignment of workers, quotas and jobs to cells."""

from dogwoodlever._job import Job, reservations
from dogwoodlever._rendezvous import highest_ranked, rank
from dogwoodlever._site import Site, Team
from dogwoodlever.batch_errors import JobRefusedError

# A quota is split over as many cells as possible while each part has at least
# this size, so that no part is too small for a task.
QUOTA_PART_CORES_MIN = 128.0


def cell_name(index: int) -> str:
    """Return the name of the cell with an index."""
    return f"cell-{index:02d}"


def cell_names(site: Site) -> list[str]:
    """Return the names of a site's cells."""
    return [cell_name(index) for index in range(site.limits.cells)]


def cell_workers(site: Site, cell: str) -> set[str]:
    """Return the workers of a cell; each worker belongs to one cell.

    A cell has workers in every data centre, so that tasks evicted from one data
    centre stay in the same cell.
    """
    names = cell_names(site)
    if len(names) == 1:
        return set(site.workers) if cell == names[0] else set()
    return {worker for worker in site.workers if highest_ranked(worker, names) == cell}


def team_cells(site: Site, name: str) -> list[str]:
    """Return the cells that hold parts of a team's quota."""
    names = cell_names(site)
    count = max(1, int(site.teams[name].cores // QUOTA_PART_CORES_MIN))
    return rank(name, names)[:count]


def cell_quotas(site: Site, cell: str) -> dict[str, Team]:
    """Return the parts of the teams' quotas in a cell, by team."""
    teams = {}
    for name, team in site.teams.items():
        cells = team_cells(site, name)
        if cell in cells:
            accelerators, remainder = divmod(team.accelerators, len(cells))
            accelerators += cells.index(cell) < remainder
            teams[name] = Team(team.cores / len(cells), accelerators)
    return teams


def cell_for_job(job: Job, site: Site) -> str:
    """Return the highest-ranked cell that can hold a task of the job.

    Raises
    ------
    JobRefusedError
        If no cell has both a sufficient part of the team's quota and a worker
        that fits a task.
    """
    reserved = reservations(site)
    cells = team_cells(site, job.team)
    for cell in rank(job.job, cells):
        quota = cell_quotas(site, cell)[job.team]
        if job.cores > quota.cores or job.accelerators > quota.accelerators:
            continue
        for name in cell_workers(site, cell):
            worker = site.workers[name]
            cores, memory = reserved.get(name, (0.0, 0))
            if (
                job.cores <= worker.cores - cores
                and job.memory_bytes <= worker.memory_bytes - memory
                and job.accelerators <= worker.accelerators
            ):
                return cell
    raise JobRefusedError(
        f"none of the {len(cells)} cells with a part of the quota of team "
        f"{job.team!r} can hold a task of {job.cores:g} cores and "
        f"{job.accelerators} accelerators"
    )
