"""Parsing of settings files, and merging them in the order of their names."""

from pathlib import Path
from typing import Any

import msgspec
import yaml

from dogwoodlever.settings_errors import Fault, SettingsError

FILE_BYTES_MAX = 1_000_000


def merge(base: Any, overlay: Any) -> Any:
    """Return `base` overlaid by `overlay`.

    Maps are merged key by key, and a null removes the key. Lists and scalars
    of the overlay replace those of the base.
    """
    if not (isinstance(base, dict) and isinstance(overlay, dict)):
        return overlay
    merged = dict(base)
    for key, value in overlay.items():
        if value is None:
            merged.pop(key, None)
            continue
        merged[key] = merge(merged[key], value) if key in merged else _drop_nulls(value)
    return merged


def _drop_nulls(value: Any) -> Any:
    """Drop nulls from a map that is merged into nothing."""
    if not isinstance(value, dict):
        return value
    return {key: _drop_nulls(item) for key, item in value.items() if item is not None}


def read_documents(folder: Path) -> list[tuple[str, dict]]:
    """Read the YAML files of `folder`, sorted by name.

    Returns
    -------
    list of (str, dict)
        File names and documents.

    Raises
    ------
    SettingsError
        If the folder holds no YAML file, or with a fault for each file that is
        not a YAML map.
    """
    if not folder.is_dir():
        raise SettingsError([Fault(str(folder), "no such folder")])
    files = sorted(p for p in folder.iterdir() if p.suffix in {".yaml", ".yml"})
    if not files:
        raise SettingsError([Fault(str(folder), "no *.yaml file in this folder")])
    documents, faults = [], []
    for file in files:
        try:
            documents.append((file.name, _read_document(file)))
        except SettingsError as error:
            faults.extend(error.faults)
    if faults:
        raise SettingsError(faults)
    return documents


def read_document(file: Path) -> dict:
    """Read one YAML map from `file`.

    Raises
    ------
    SettingsError
        If the file is unreadable or not a map.
    """
    return _read_document(file)


class _UniqueKeyLoader(getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
    """Safe loader that rejects duplicate keys of a map."""

    def construct_mapping(self, node, deep=False):
        """Build a map; reject duplicate keys and keys that are not scalars."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str | int | float | bool):
                raise yaml.constructor.ConstructorError(
                    None, None, "a key must be text", key_node.start_mark
                )
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} is given twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def parse_document(text: str | bytes, name: str) -> dict:
    """Parse one YAML map.

    Raises
    ------
    SettingsError
        If the text is not YAML, is too large, or is not a map.
    """
    if text[:1] in ("{", b"{"):
        # Daemons exchange documents as JSON, which parses in milliseconds.
        return _parse_json(text, name)
    if len(text) > FILE_BYTES_MAX:
        raise SettingsError([Fault(name, f"larger than {FILE_BYTES_MAX} bytes")])
    return _parse_yaml(text, name)


def _parse_yaml(text: str | bytes, name: str) -> dict:
    try:
        # The loader is a subclass of the safe loader.
        document = yaml.load(text, Loader=_UniqueKeyLoader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        summary = " ".join(str(error).split())
        raise SettingsError([Fault(name, f"not YAML: {summary}")]) from error
    if document is None:
        return {}
    if not isinstance(document, dict):
        raise SettingsError([Fault(name, "the file must hold a map")])
    return document


def _parse_json(text: str | bytes, name: str) -> dict:
    try:
        return msgspec.json.decode(text, type=dict)
    except (msgspec.DecodeError, UnicodeError):
        # A YAML flow mapping starts with a brace too.
        return _parse_yaml(text, name)


def _read_document(file: Path) -> dict:
    try:
        content = file.read_bytes()
    except OSError as error:
        raise SettingsError([Fault(str(file), f"cannot read: {error}")]) from error
    return parse_document(content, file.name)
