"""Decoding of JSON documents that other processes have written."""

from typing import Annotated

import msgspec

# The largest number that every use of it accepts: stored records hold 64 bits, and the
# arithmetic of placement is partly on floats.
INT64_MAX = 2**63 - 1

Amount = Annotated[int, msgspec.Meta(ge=0, le=INT64_MAX)]
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
