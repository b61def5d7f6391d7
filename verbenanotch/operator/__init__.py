"""HTTP interface of a control host for operators."""

from verbenanotch.operator._interface import OperatorInterface
from verbenanotch.operator.exceptions import OperatorError

__all__ = ["OperatorError", "OperatorInterface"]
