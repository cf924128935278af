"""Encodes attrs objects as JSON and decodes them, reporting errors by location.

Parsing is strict about types and, for settings, about unknown fields. Messages
between processes ignore unknown fields, so that versions can be mixed during an
upgrade.
"""

from typing import Any, TypeVar

import cattrs
import orjson
from attrs import fields
from cattrs.preconf.orjson import make_converter

from medlarrail.core.cluster_records import ValidationFault
from medlarrail.core.errors import (
    BadField,
    BadJson,
    MedlarError,
    SettingsInvalid,
    get_error_types,
)

T = TypeVar("T")
SCALARS = (str, int, float, bool)


MAX_NUMBER = 2**53
"""Largest number accepted from other systems: the whole numbers up to it are exact in
every JSON parser. Their sums fit 64 bits, which the encoder requires."""


def is_out_of_range(value: Any) -> bool:
    """Return whether a value is a number that may not be used or passed on."""
    return isinstance(value, int | float) and not -MAX_NUMBER <= value <= MAX_NUMBER


def read_count(value: Any) -> int:
    """Return a number from another system as a count; raises ``ValueError``.

    >>> read_count(3)
    3
    """
    number = int(value)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError("is out of range")
    return number


def _structure_scalar(value: Any, kind: type) -> Any:
    """Accept only a JSON value of the expected type; an integer is a valid float."""
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}, not {type(value).__name__}")
    return value


def _make_converter(forbid_extra_keys: bool):
    converter = make_converter(forbid_extra_keys=forbid_extra_keys)
    for kind in SCALARS:
        converter.register_structure_hook(kind, _structure_scalar)
    return converter


_MESSAGE_CONVERTER = _make_converter(forbid_extra_keys=False)
_SETTINGS_CONVERTER = _make_converter(forbid_extra_keys=True)


def encode(value: Any) -> bytes:
    """Return ``value``, an attrs object, as JSON."""
    return orjson.dumps(_MESSAGE_CONVERTER.unstructure(value))


def to_plain(value: Any) -> Any:
    """Return ``value`` as JSON-compatible mappings and lists."""
    return _MESSAGE_CONVERTER.unstructure(value)


def from_plain(plain: Any, kind: type[T]) -> T:
    """Return an object of type ``kind`` from ``plain``; raises ``BadField``."""
    try:
        return _MESSAGE_CONVERTER.structure(plain, kind)
    except Exception as error:
        fault = next(iterate_faults(error))
        raise BadField(place=fault.place, problem=fault.problem) from error


def parse_json(data: bytes) -> Any:
    """Return the plain value in JSON text; raises ``BadJson``."""
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise BadJson(problem=str(error)) from error


def decode(data: bytes, kind: type[T]) -> T:
    """Return an object of type ``kind`` from JSON text.

    Raises ``BadJson`` or ``BadField``.
    """
    return from_plain(parse_json(data), kind)


def decode_settings(data: bytes, kind: type[T]) -> T:
    """Return settings; raises ``SettingsInvalid`` with all faults found."""
    try:
        plain = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise SettingsInvalid(faults=(ValidationFault("$", str(error)),)) from error
    try:
        return _SETTINGS_CONVERTER.structure(plain, kind)
    except Exception as error:
        raise SettingsInvalid(faults=tuple(iterate_faults(error))) from error


def iterate_faults(error: BaseException, place: str = "$"):
    """Yield a ``ValidationFault`` for each leaf of an error raised by a converter."""
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        for name in sorted(error.extra_fields):
            yield ValidationFault(f"{place}.{name}", "unknown field")
    elif isinstance(error, cattrs.errors.ClassValidationError):
        yield from _iterate_group_faults(error, place, cattrs.AttributeValidationNote)
    elif isinstance(error, cattrs.errors.IterableValidationError):
        yield from _iterate_group_faults(error, place, cattrs.IterableValidationNote)
    elif isinstance(error, KeyError):
        yield ValidationFault(f"{place}.{error.args[0]}", "field is missing")
    else:
        yield ValidationFault(place, str(error) or type(error).__name__)


def _iterate_group_faults(group: BaseExceptionGroup, place: str, note_type: type):
    for child in group.exceptions:
        yield from iterate_faults(child, place + _get_path_step(child, note_type))


def _get_path_step(error: BaseException, note_type: type) -> str:
    """Return the path step from a container to the part that has the error."""
    if isinstance(error, KeyError):
        return ""
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, note_type):
            if isinstance(note, cattrs.AttributeValidationNote):
                return f".{note.name}"
            return f"[{note.index}]"
    return ""


def encode_error(error: MedlarError, run: str = "") -> bytes:
    """Return the JSON body that represents ``error`` on the wire.

    ``run`` overrides the ``run`` value of the error's type.
    """
    data = {field.name: getattr(error, field.name) for field in fields(type(error))}
    body = {
        "type": type(error).__name__,
        "reason": str(error),
        "run": run or type(error).run,
        "data": _MESSAGE_CONVERTER.unstructure(data),
    }
    return orjson.dumps({"error": body})


def decode_error(data: bytes) -> MedlarError | None:
    """Return the typed error in a JSON body, or None if there is none."""
    try:
        body = orjson.loads(data)["error"]
        kind = get_error_types()[body["type"]]
        return kind(**body.get("data", {}))
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return None


def register_tagged(base: type) -> None:
    """Let fields of type ``base`` hold a direct subclass, tagged with its name.

    Has to be called after all direct subclasses are defined.
    """
    kinds = {kind.__name__: kind for kind in base.__subclasses__()}

    def unstructure(value):
        return {"kind": type(value).__name__, **_MESSAGE_CONVERTER.unstructure(value)}

    def structure(plain, _):
        data = dict(plain)
        name = data.pop("kind", None)
        if name not in kinds:
            raise TypeError(f"unknown kind {name!r} of {base.__name__}")
        return _MESSAGE_CONVERTER.structure(data, kinds[name])

    _MESSAGE_CONVERTER.register_unstructure_hook_func(
        lambda kind: kind is base, unstructure
    )
    _MESSAGE_CONVERTER.register_structure_hook_func(
        lambda kind: kind is base, structure
    )
