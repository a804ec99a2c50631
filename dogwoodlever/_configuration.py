"""Configuration record: documents, data centres out of service, revisions."""

import zlib

import msgspec
from returns.result import Failure, Result, Success

from dogwoodlever._merge import parse_document
from dogwoodlever._reader import check_documents
from dogwoodlever._site import Site
from dogwoodlever.configuration_errors import ConfigurationError
from dogwoodlever.settings_errors import Fault, SettingsError

COMPRESSION_LEVEL = 6


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """Stored configuration of a site.

    Attributes
    ----------
    revision : int
        Incremented by each accepted change.
    documents : tuple of (str, str)
        File names and texts, ordered by name.
    out : tuple of str
        Data centres that operators took out of service.
    """

    revision: int = 0
    documents: tuple[tuple[str, str], ...] = ()
    out: tuple[str, ...] = ()
    changed_by: str = ""
    changed_at_s: float = 0.0

    def site(self) -> Result[Site, SettingsError]:
        """Return the site merged from the documents, or the faults found in it."""
        try:
            parsed = [
                (name, parse_document(text, name))
                for name, text in sorted(self.documents)
            ]
        except SettingsError as error:
            return Failure(error)
        checked = check_documents(parsed)
        if not isinstance(checked, Success):
            return checked
        return self._apply_outages(checked.unwrap())

    def _apply_outages(self, site: Site) -> Result[Site, SettingsError]:
        data_centres = dict(site.data_centres)
        for name in self.out:
            if name not in data_centres:
                what = f"out of service; bring {name!r} back in before removing it"
                return Failure(SettingsError([Fault(f"data_centres.{name}", what)]))
            data_centres[name] = msgspec.structs.replace(data_centres[name], out=True)
        return Success(msgspec.structs.replace(site, data_centres=data_centres))

    def with_documents(
        self, documents: tuple[tuple[str, str], ...], by: str, at_s: float
    ) -> "ConfigurationRecord":
        """Return the next revision, with `documents` in place of the current ones."""
        return ConfigurationRecord(self.revision + 1, documents, self.out, by, at_s)

    def with_data_centre(
        self, name: str, out: bool, by: str, at_s: float
    ) -> "ConfigurationRecord":
        """Return the next revision, with one data centre out of or in service."""
        out_of_service = set(self.out) - {name}
        if out:
            out_of_service.add(name)
        return ConfigurationRecord(
            self.revision + 1, self.documents, tuple(sorted(out_of_service)), by, at_s
        )


def encode_configuration(record: ConfigurationRecord) -> bytes:
    """Encode a configuration as compressed JSON."""
    return zlib.compress(msgspec.json.encode(record), COMPRESSION_LEVEL)


def decode_configuration(value: bytes) -> ConfigurationRecord:
    """Decode a stored configuration.

    Raises
    ------
    ConfigurationError
        If the value is not an encoded configuration.
    """
    try:
        return msgspec.json.decode(zlib.decompress(value), type=ConfigurationRecord)
    except (msgspec.DecodeError, zlib.error) as error:
        raise ConfigurationError(f"unreadable configuration: {error}") from error


class ActiveConfiguration:
    """Newest valid configuration; an older one never replaces it."""

    __slots__ = ("record", "site", "version")

    def __init__(self) -> None:
        self.version = 0
        self.record = ConfigurationRecord()
        self.site: Site | None = None

    def offer(self, version: int, value: bytes) -> bool:
        """Activate a value from the store or a peer, and return whether it is newer.

        Raises
        ------
        ConfigurationError
            If a newer value is invalid; the active configuration stays.
        """
        if version <= self.version:
            return False
        record = decode_configuration(value)
        if record.revision <= self.record.revision and self.version:
            return False
        site = record.site()
        if isinstance(site, Failure):
            raise ConfigurationError(
                f"invalid revision {record.revision}: {site.failure()}"
            )
        self.version, self.record, self.site = version, record, site.unwrap()
        return True
