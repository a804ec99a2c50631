"""Gateway: the callers' and the operators' HTTP ports."""

from dogwoodlever._bounded_site import BoundedSite
from dogwoodlever._callers_resource import CallersResource
from dogwoodlever._gateway import CallerRequest, Gateway, RequestResult
from dogwoodlever._operators_resource import OperatorsResource
from dogwoodlever._reports import Reports

__all__ = [
    "BoundedSite",
    "CallerRequest",
    "CallersResource",
    "Gateway",
    "OperatorsResource",
    "Reports",
    "RequestResult",
]
