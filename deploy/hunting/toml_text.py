"""Writes TOML: the standard library only reads it."""

import json


def value(thing):
    """One value on one line; tables become inline tables."""
    if isinstance(thing, dict):
        return "{ " + ", ".join(f"{key} = {value(inner)}" for key, inner in thing.items()) + " }"
    if isinstance(thing, list):
        return "[" + ", ".join(value(inner) for inner in thing) + "]"
    return json.dumps(thing, ensure_ascii=False)


def document(table):
    """A table as a file: a line for each key, and one for each entry of a list of tables."""
    return "".join(f"{key} = {_top_level(inner)}\n" for key, inner in table.items())


def _top_level(thing):
    if isinstance(thing, list) and thing and all(isinstance(entry, dict) for entry in thing):
        return "[\n" + "".join(f"  {value(entry)},\n" for entry in thing) + "]"
    return value(thing)
