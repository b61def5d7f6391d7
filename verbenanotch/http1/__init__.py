"""HTTP/1.1 messages, read strictly: a message is complete or an error."""

from verbenanotch.http1._answer import Answer, read_answer
from verbenanotch.http1._fields import HeaderFields

__all__ = [
    "Answer",
    "HeaderFields",
    "read_answer",
]
