"""Encodes the answers to calls between daemons."""

import json
import zlib

COMPRESSION = "zlib"
# Compressing a shorter answer would not save a packet.
MIN_COMPRESSED_BYTES = 1400
# Level 1 shrinks a list of backend servers nearly as far as level 6, in a third of the
# time.
COMPRESSION_LEVEL = 1
MAX_ANSWER_BYTES = 64 * 2**20
# A zlib stream begins with this byte, which no JSON text does.
ZLIB_FIRST_BYTE = 0x78


class SharedAnswer:
    """An answer for several callers, which is encoded once.

    ``plain`` is plain data that JSON can express.
    """

    __slots__ = ("plain", "_text", "_compressed")

    def __init__(self, plain):
        self.plain = plain
        self._text = None
        self._compressed = None

    def encode(self, compressed):
        """Return the answer as bytes.

        :param compressed: whether the caller can decompress it.
        """
        if self._text is None:
            self._text = json.dumps(self.plain, separators=(",", ":")).encode()
        if not compressed or len(self._text) < MIN_COMPRESSED_BYTES:
            return self._text
        if self._compressed is None:
            self._compressed = zlib.compress(self._text, COMPRESSION_LEVEL)
        return self._compressed


class PersonalAnswer:
    """A `SharedAnswer` with ``fields`` for one of its callers, as a dictionary.

    The shared part, a dictionary too, is not encoded again.
    """

    __slots__ = ("shared", "fields")

    def __init__(self, shared, fields):
        self.shared = shared
        self.fields = fields

    def encode(self, compressed):
        """Return the answer as bytes.

        :param compressed: whether the caller can decompress it.
        """
        shared = self.shared.encode(compressed)
        own = json.dumps(self.fields, separators=(",", ":")).encode()
        if shared[:1] == bytes([ZLIB_FIRST_BYTE]):
            return shared + own
        return own[:-1] + b"," + shared[1:] if len(shared) > 2 else own


def decode_answer(data):
    """Return the plain data that ``encode`` of an answer turned into ``data``.

    :raises ValueError: if ``data`` is malformed or exceeds `MAX_ANSWER_BYTES`.
    """
    if data[:1] == bytes([ZLIB_FIRST_BYTE]):
        try:
            decompressor = zlib.decompressobj()
            data = decompressor.decompress(data, MAX_ANSWER_BYTES)
        except zlib.error as error:
            raise ValueError(str(error))
        if not decompressor.eof:
            raise ValueError("the compressed answer is cut off or too large")
        if decompressor.unused_data:
            return json.loads(data) | json.loads(decompressor.unused_data)
    return json.loads(data)
