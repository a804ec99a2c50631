"""State charts, read from YAML files and interpreted as tables."""

from importlib import resources

import yaml

from dogwoodlever.errors import DogwoodleverError


class ChartError(DogwoodleverError):
    """An event has no transition from the present state."""


class Chart:
    """A flat state chart.

    Parameters
    ----------
    name : str
        Name used in errors.
    initial : str
        State that a new item starts in.
    table : dict of (str, str) to str
        Next state by present state and event.
    """

    __slots__ = ("initial", "name", "_table")

    def __init__(self, name: str, initial: str, table: dict) -> None:
        self.name = name
        self.initial = initial
        self._table = table

    @classmethod
    def load(cls, name: str) -> "Chart":
        """Read the chart that the package ships as ``<name>.chart.yaml``."""
        source = resources.files("dogwoodlever") / f"{name}.chart.yaml"
        document = yaml.safe_load(source.read_text())
        table = {}
        for row in document["transitions"]:
            sources = row["from"] if isinstance(row["from"], list) else [row["from"]]
            for state in sources:
                table[state, row["event"]] = row["to"]
        return cls(name, document["initial"], table)

    def next(self, state: str, event: str) -> str:
        """Return the state that follows `event` in `state`.

        Raises
        ------
        ChartError
            If the chart has no such transition.
        """
        try:
            return self._table[state, event]
        except KeyError:
            raise ChartError(f"chart {self.name}: no {event!r} in {state!r}") from None

    def allows(self, state: str, event: str) -> bool:
        """Tell whether `event` has a transition from `state`."""
        return (state, event) in self._table

    @property
    def states(self) -> frozenset[str]:
        """All states that the chart names."""
        sources = {state for state, _ in self._table}
        return frozenset(sources | set(self._table.values()) | {self.initial})

    @property
    def transitions(self) -> tuple[tuple[str, str, str], ...]:
        """Rows of (state, event, next state), sorted."""
        return tuple(sorted((s, e, t) for (s, e), t in self._table.items()))
