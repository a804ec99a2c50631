"""Errors of the settings layer."""

from dataclasses import dataclass

from dogwoodlever.errors import DogwoodleverError


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault found in settings.

    Attributes
    ----------
    where : str
        File and dotted key.
    what : str
        The fault, and what would be accepted.
    """

    where: str
    what: str

    def __str__(self) -> str:
        return f"{self.where}: {self.what}"


class SettingsError(DogwoodleverError):
    """Settings were refused as a whole.

    Parameters
    ----------
    faults : sequence of Fault
        Every fault found, in the order of discovery.
    """

    def __init__(self, faults) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(str(fault) for fault in self.faults))
