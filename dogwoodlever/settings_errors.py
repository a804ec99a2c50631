"""Errors of the settings layer."""

from dataclasses import dataclass

from dogwoodlever.errors import DogwoodleverError


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault in the settings.

    Attributes
    ----------
    where : str
        File and dotted key.
    what : str
        Description of the fault and of valid values.
    """

    where: str
    what: str

    def __str__(self) -> str:
        return f"{self.where}: {self.what}"


class SettingsError(DogwoodleverError):
    """Settings are invalid and were rejected as a whole.

    Parameters
    ----------
    faults : sequence of Fault
        All faults, in the order in which they were found.
    """

    def __init__(self, faults) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(str(fault) for fault in self.faults))
