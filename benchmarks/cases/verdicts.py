"""Output lines of a benchmark case: measured figures, then the verdict as the last line."""

import json


def note(**fields):
    """Prints one JSON line of figures in addition to the verdict."""
    print(json.dumps(fields), flush=True)


def rounded(value):
    if isinstance(value, float):
        return round(value, 4)
    if isinstance(value, dict):
        return {key: rounded(item) for key, item in value.items()}
    return value


def verdict(value, unit, bound, baseline, passed):
    """The fields of the last line; value, bound and baseline are numbers or dicts of numbers."""
    return {"value": rounded(value), "unit": unit, "bound": bound, "baseline": rounded(baseline),
            "ok": bool(passed)}


def ratio(part, whole):
    return part / whole if whole else 0.0
