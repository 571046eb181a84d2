"""Header fields as they cross a connection."""

from tornado.httputil import HTTPHeaders, HTTPInputError

from pimentogap.errors import RequestNotSendable


def read_fields(pairs):
    """Return what a server reads of header fields that an HTTP library writes.

    :param pairs: the names and values that the sender gives to the library.
    :raises RequestNotSendable: if one of them is no header field, or has characters
        that the library cannot write.
    """
    fields = HTTPHeaders()
    try:
        for name, value in pairs:
            fields.add(name, value)
        return {
            name: value.encode("latin-1").decode("utf-8", "replace")
            for name, value in fields.get_all()
        }
    except (HTTPInputError, UnicodeEncodeError) as error:
        raise RequestNotSendable(str(error))
