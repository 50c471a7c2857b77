"""The form of a case's last line, and the lines before it."""

import json


def note(**fields):
    """Prints one line of figures beside the verdict."""
    print(json.dumps(fields), flush=True)


def rounded(value):
    if isinstance(value, float):
        return round(value, 4)
    if isinstance(value, dict):
        return {key: rounded(one) for key, one in value.items()}
    return value


def verdict(value, unit, bound, baseline, good):
    """The fields of the last line; value, bound and baseline may be numbers or named numbers."""
    return {"value": rounded(value), "unit": unit, "bound": bound, "baseline": rounded(baseline),
            "ok": bool(good)}


def ratio(part, whole):
    return part / whole if whole else 0.0
