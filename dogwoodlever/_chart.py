"""State charts, loaded from YAML files as transition tables."""

from importlib import resources

import yaml

from dogwoodlever.errors import DogwoodleverError


class ChartError(DogwoodleverError):
    """No transition exists for an event in the current state."""


class Chart:
    """State chart without nested states.

    Parameters
    ----------
    name : str
        Name of the chart, for error messages.
    initial : str
        Initial state.
    table : dict of (str, str) to str
        Next state by current state and event.
    """

    __slots__ = ("initial", "name", "_table")

    def __init__(self, name: str, initial: str, table: dict) -> None:
        self.name = name
        self.initial = initial
        self._table = table

    @classmethod
    def load(cls, name: str) -> "Chart":
        """Load the packaged chart ``<name>.chart.yaml``."""
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
        """Return whether `event` has a transition from `state`."""
        return (state, event) in self._table

    @property
    def states(self) -> frozenset[str]:
        """All states of the chart."""
        sources = {state for state, _ in self._table}
        return frozenset(sources | set(self._table.values()) | {self.initial})

    @property
    def transitions(self) -> tuple[tuple[str, str, str], ...]:
        """Rows of (state, event, next state), sorted."""
        return tuple(sorted((s, e, t) for (s, e), t in self._table.items()))
