"""Usage of team quotas and the teams' dominant shares."""

from dataclasses import dataclass

from dogwoodlever._site import Team


@dataclass(slots=True)
class TeamUsage:
    """Cores and accelerators that a team uses, or has left."""

    cores: float = 0.0
    accelerators: int = 0


class QuotaUsage:
    """Quota usage of the teams in one cell.

    Parameters
    ----------
    teams : dict of str to Team
        Quotas of the teams in the cell.
    """

    __slots__ = ("_teams", "_usage")

    def __init__(self, teams: dict[str, Team]) -> None:
        self._teams = teams
        self._usage: dict[str, TeamUsage] = {}

    def usage(self, team: str) -> TeamUsage:
        """Return the resources that a team uses."""
        return self._usage.setdefault(team, TeamUsage())

    def cores(self, team: str) -> float:
        """Return the cores of a team's quota, 0 for an unknown team."""
        quota = self._teams.get(team)
        return 0.0 if quota is None else quota.cores

    def add_usage(self, team: str, cores: float, accelerators: int) -> None:
        """Add the usage of a placed task; negative values remove it."""
        usage = self.usage(team)
        usage.cores += cores
        usage.accelerators += accelerators

    def allows(self, team: str, cores: float, accelerators: int) -> bool:
        """Return whether a task fits within the team's quota."""
        quota = self._teams.get(team)
        if quota is None:
            return False
        usage = self.usage(team)
        if usage.cores + cores > quota.cores + 1e-9:
            return False
        return usage.accelerators + accelerators <= quota.accelerators

    def remaining(self, team: str) -> TeamUsage:
        """Return the unused part of a team's quota."""
        quota, usage = self._teams.get(team), self.usage(team)
        if quota is None:
            return TeamUsage()
        return TeamUsage(
            quota.cores - usage.cores, quota.accelerators - usage.accelerators
        )

    def dominant_share(self, team: str) -> float:
        """Return the larger of the used fractions of the team's quotas."""
        quota = self._teams.get(team)
        if quota is None:
            return float("inf")
        usage = self.usage(team)
        share = usage.cores / quota.cores
        if quota.accelerators:
            share = max(share, usage.accelerators / quota.accelerators)
        return share
