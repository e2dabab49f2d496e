"""Decode counts and times in headers."""


def decode(text: str, maximum: int) -> int | None:
    """Return a whole number, or the maximum if it is larger.

    Return None for what is no whole number.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip('0') or '0'
    # Numbers of thousands of digits can't be converted.
    if len(digits) > len(str(maximum)):
        return maximum
    return min(int(digits), maximum)
