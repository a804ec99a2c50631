"""Decoding of JSON documents that other processes have written."""

import msgspec


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
