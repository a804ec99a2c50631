"""Errors of the command line, with their exit statuses."""

from dogwoodlever.errors import DogwoodleverError


class CliError(DogwoodleverError):
    """Base class; `exit_status` is the exit status of the program."""

    exit_status = 1


class CommandRefusedError(CliError):
    """The command was rejected; nothing was changed."""

    exit_status = 1


class UnreachableError(CliError):
    """No daemon could be reached; nothing was sent."""

    exit_status = 3


class OutcomeUnknownError(CliError):
    """The command was sent, but it is unknown whether it took effect."""

    exit_status = 4
