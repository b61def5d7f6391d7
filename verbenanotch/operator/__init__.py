"""HTTP interface for operators, served by each control host."""

from verbenanotch.operator._interface import OperatorInterface
from verbenanotch.operator.exceptions import OperatorError

__all__ = ["OperatorError", "OperatorInterface"]
