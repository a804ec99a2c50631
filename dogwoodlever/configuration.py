"""Configuration layer: revisions, and the active one."""

from dogwoodlever._configuration import (
    ActiveConfiguration,
    ConfigurationRecord,
    decode_configuration,
    encode_configuration,
)

__all__ = [
    "ActiveConfiguration",
    "ConfigurationRecord",
    "decode_configuration",
    "encode_configuration",
]
