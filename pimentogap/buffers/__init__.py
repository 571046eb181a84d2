"""The memory that answers of backend servers hold on their way to callers."""

from pimentogap.buffers._account import AnswerAccount
from pimentogap.buffers._service import BufferService

__all__ = ["AnswerAccount", "BufferService"]
