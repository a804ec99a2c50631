"""Order of queued work: urgent first, then teams by dominant share."""

from dataclasses import dataclass

from dogwoodlever._site import Team


@dataclass(slots=True)
class TeamUsage:
    """What a team's placed tasks take."""

    cores: float = 0.0
    accelerators: int = 0


class QuotaUsage:
    """Account of the teams' use within one cell.

    Parameters
    ----------
    teams : dict of str to Team
        Parts of the teams' quotas that fall to the cell.
    """

    __slots__ = ("_teams", "_usage")

    def __init__(self, teams: dict[str, Team]) -> None:
        self._teams = teams
        self._usage: dict[str, TeamUsage] = {}

    def usage(self, team: str) -> TeamUsage:
        """Return the use of `team`."""
        return self._usage.setdefault(team, TeamUsage())

    def cores(self, team: str) -> float:
        """Return the cores of a team's quota, 0 for a team that is not known."""
        quota = self._teams.get(team)
        return 0.0 if quota is None else quota.cores

    def add_usage(self, team: str, cores: float, accelerators: int) -> None:
        """Charge a placed task."""
        usage = self.usage(team)
        usage.cores += cores
        usage.accelerators += accelerators

    def remove_usage(self, team: str, cores: float, accelerators: int) -> None:
        """Credit a task that is placed no more."""
        self.add_usage(team, -cores, -accelerators)

    def allows(self, team: str, cores: float, accelerators: int) -> bool:
        """Tell whether a task fits within the team's quota."""
        quota = self._teams.get(team)
        if quota is None:
            return False
        usage = self.usage(team)
        if usage.cores + cores > quota.cores + 1e-9:
            return False
        return usage.accelerators + accelerators <= quota.accelerators

    def remaining(self, team: str) -> TeamUsage:
        """Return what is left of a team's quota."""
        quota, usage = self._teams.get(team), self.usage(team)
        if quota is None:
            return TeamUsage()
        return TeamUsage(
            quota.cores - usage.cores, quota.accelerators - usage.accelerators
        )

    def dominant_share(self, team: str) -> float:
        """Return the larger of the team's parts of its quotas."""
        quota = self._teams.get(team)
        if quota is None:
            return float("inf")
        usage = self.usage(team)
        share = usage.cores / quota.cores
        if quota.accelerators:
            share = max(share, usage.accelerators / quota.accelerators)
        return share
