"""Configuration: revisions, and what is in force."""

from dogwoodlever._configuration import (
    ConfigurationFollower,
    ConfigurationRecord,
    decode_configuration,
    encode_configuration,
)

__all__ = [
    "ConfigurationFollower",
    "ConfigurationRecord",
    "decode_configuration",
    "encode_configuration",
]
