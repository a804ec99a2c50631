"""Decoding of JSON documents that other processes have written."""

from typing import Annotated

import msgspec

# The largest number that every use of it accepts: stored records hold 64 bits, and the
# arithmetic of placement is partly on floats.
INT64_MAX = 2**63 - 1

Amount = Annotated[int, msgspec.Meta(ge=0, le=INT64_MAX)]
PositiveAmount = Annotated[int, msgspec.Meta(gt=0, le=INT64_MAX)]
Int64 = Annotated[int, msgspec.Meta(ge=-INT64_MAX, le=INT64_MAX)]


def decode_json(content: bytes, document_type):
    """Return a document as an object of `document_type`.

    Raises
    ------
    ValueError
        If it is malformed; the message names the field.
    """
    try:
        return msgspec.json.decode(content, type=document_type)
    except RecursionError as error:
        # Fields that are ignored are parsed too.
        raise ValueError("nested too deeply") from error


def decode_whole_numbers(content: bytes, document_type):
    """Return a document like `decode_json`; 7.0 is the same number as 7.

    Raises
    ------
    ValueError
        If it is malformed; the message names the field.
    """
    try:
        return decode_json(content, document_type)
    except msgspec.ValidationError:
        # JSON does not distinguish them. Documents seldom write whole numbers so.
        try:
            document = _convert_whole_numbers(decode_json(content, object))
        except RecursionError as error:
            raise ValueError("nested too deeply") from error
        return msgspec.convert(document, document_type)


def _convert_whole_numbers(value):
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, dict):
        return {name: _convert_whole_numbers(field) for name, field in value.items()}
    if isinstance(value, list):
        return [_convert_whole_numbers(field) for field in value]
    return value
