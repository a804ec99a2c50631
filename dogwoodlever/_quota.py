"""Order of queued work: urgent first, then teams by dominant share."""

from dataclasses import dataclass

from dogwoodlever._site import Team


@dataclass(slots=True)
class TeamUse:
    """What a team's placed tasks take."""

    cores: float = 0.0
    accelerators: int = 0


class QuotaBook:
    """Account of the teams' use within one cell.

    Parameters
    ----------
    teams : dict of str to Team
        Parts of the teams' quotas that fall to the cell.
    """

    __slots__ = ("_teams", "_use")

    def __init__(self, teams: dict[str, Team]) -> None:
        self._teams = teams
        self._use: dict[str, TeamUse] = {}

    def use(self, team: str) -> TeamUse:
        """Return the use of `team`."""
        return self._use.setdefault(team, TeamUse())

    def cores(self, team: str) -> float:
        """Return the cores of a team's quota, 0 for a team that is not known."""
        quota = self._teams.get(team)
        return 0.0 if quota is None else quota.cores

    def take(self, team: str, cores: float, accelerators: int) -> None:
        """Charge a placed task."""
        use = self.use(team)
        use.cores += cores
        use.accelerators += accelerators

    def give_back(self, team: str, cores: float, accelerators: int) -> None:
        """Credit a task that is placed no more."""
        self.take(team, -cores, -accelerators)

    def allows(self, team: str, cores: float, accelerators: int) -> bool:
        """Tell whether a task fits within the team's quota."""
        quota = self._teams.get(team)
        if quota is None:
            return False
        use = self.use(team)
        if use.cores + cores > quota.cores + 1e-9:
            return False
        return use.accelerators + accelerators <= quota.accelerators

    def free(self, team: str) -> TeamUse:
        """Return what is left of a team's quota."""
        quota, use = self._teams.get(team), self.use(team)
        if quota is None:
            return TeamUse()
        return TeamUse(quota.cores - use.cores, quota.accelerators - use.accelerators)

    def dominant_share(self, team: str) -> float:
        """Return the larger of the team's parts of its quotas."""
        quota = self._teams.get(team)
        if quota is None:
            return float("inf")
        use = self.use(team)
        share = use.cores / quota.cores
        if quota.accelerators:
            share = max(share, use.accelerators / quota.accelerators)
        return share
