"""Validation of untyped documents against msgspec types, listing every fault."""

from typing import Any, get_args, get_origin

import msgspec

from dogwoodlever.settings_errors import Fault


def find_faults(document: Any, schema: Any, where: str) -> list[Fault]:
    """List every fault of `document` against `schema`.

    Parameters
    ----------
    document : object
        Value parsed from YAML or JSON.
    schema : type
        ``msgspec.Struct`` subclass, ``dict[str, ...]`` or scalar type.
    where : str
        Prefix of the dotted key in each fault.

    Returns
    -------
    list of Fault
        Empty if the document is valid.
    """
    if isinstance(schema, type) and issubclass(schema, msgspec.Struct):
        return _struct_faults(document, schema, where)
    if get_origin(schema) is dict and isinstance(document, dict):
        value_schema = get_args(schema)[1]
        faults = []
        for key, value in document.items():
            if not isinstance(key, str):
                faults.append(Fault(f"{where}.{key}", "key must be text; quote it"))
                continue
            faults.extend(find_faults(value, value_schema, f"{where}.{key}"))
        return faults
    return _scalar_faults(document, schema, where)


def _scalar_faults(document: Any, schema: Any, where: str) -> list[Fault]:
    try:
        msgspec.convert(document, schema)
    except msgspec.ValidationError as error:
        return [Fault(where, str(error))]
    return []


def _struct_faults(document: Any, schema: type, where: str) -> list[Fault]:
    if not isinstance(document, dict):
        return [Fault(where, f"expected a map, got {type(document).__name__}")]
    faults = []
    fields = {field.encode_name: field for field in msgspec.structs.fields(schema)}
    for key in document:
        if key not in fields:
            known = ", ".join(fields)
            faults.append(Fault(f"{where}.{key}", f"unknown key; known: {known}"))
    for name, field in fields.items():
        if name in document:
            faults.extend(find_faults(document[name], field.type, f"{where}.{name}"))
        elif field.required:
            faults.append(Fault(f"{where}.{name}", "missing; it is required"))
    return faults
