"""HTTP/1.1 messages, read strictly: a message is complete or an error."""

from verbenanotch.http1._answer import Answer, read_answer
from verbenanotch.http1._chunks import ChunkedBody
from verbenanotch.http1._fields import HeaderFields, is_field_line
from verbenanotch.http1._head_bytes import HeadBytes
from verbenanotch.http1._request import RequestHead, read_request_head

__all__ = [
    "Answer",
    "ChunkedBody",
    "HeadBytes",
    "HeaderFields",
    "RequestHead",
    "is_field_line",
    "read_answer",
    "read_request_head",
]
