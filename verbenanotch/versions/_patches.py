"""Patches that turn the text of one version into that of another.

Successive versions differ in a few routes, so that a patch has a small part of
the size of the compressed text. A patch is the text compressed by Zstandard
with the older text as its dictionary.
"""

import zstandard

# The longest text of which a patch is made; the window of the compression has
# to cover both texts, and decompression allocates it.
MAX_PATCHED_BYTES = 8 * 1024 * 1024
LEVEL = 3
MIN_WINDOW_LOG = 10
MAX_WINDOW_LOG = 24


def make_patch(text, older_text):
    """Return the bytes from which `apply_patch` makes `text`.

    Returns None if one of the texts is longer than MAX_PATCHED_BYTES.
    """
    if max(len(text), len(older_text)) > MAX_PATCHED_BYTES:
        return None
    window_log = max(
        MIN_WINDOW_LOG, (len(text) + len(older_text)).bit_length()
    )
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        source_size=len(text),
        dict_size=len(older_text),
        window_log=window_log,
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(older_text), compression_params=parameters
    )
    return compressor.compress(text)


def apply_patch(patch, older_text):
    """Return the text from which `patch` was made for `older_text`.

    Raises ValueError if it is not a patch, or one of another text.
    """
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_dictionary(older_text),
        max_window_size=1 << MAX_WINDOW_LOG,
    )
    try:
        # The frame declares the size of the text.
        size = zstandard.frame_content_size(patch)
        if not 0 <= size <= MAX_PATCHED_BYTES:
            raise ValueError(f"the patch declares a text of {size} bytes")
        return decompressor.decompress(patch)
    except zstandard.ZstdError as error:
        raise ValueError(f"the patch cannot be applied: {error}") from error


def _dictionary(text):
    return zstandard.ZstdCompressionDict(
        text, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
