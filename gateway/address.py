"""Network addresses of the form HOST:PORT."""

from __future__ import annotations

from dataclasses import dataclass

MAX_PORT = 65535


class AddressError(ValueError):
    """A value is not an address of the form HOST:PORT.

    Attributes:
        value: The invalid value.
    """

    def __init__(self, value: object) -> None:
        super().__init__(f"expected an address of the form HOST:PORT, got {value!r}")
        self.value = value


@dataclass(slots=True, frozen=True)
class Address:
    """The address of a TCP service."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: object) -> Address:
    """Parse an address of the form HOST:PORT.

    Raises:
        AddressError: The host is missing, or the port is not a number from 0 to `MAX_PORT`.
    """
    host, _, port = str(text).rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or int(port) > MAX_PORT:
        raise AddressError(text)
    return Address(host, int(port))
