"""Numbers and tables as text."""


def number(value):
    """Writes a number with three digits that count."""
    if value is None:
        return "none"
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    if abs(value) >= 100:
        return f"{value:.0f}"
    if abs(value) >= 10:
        return f"{value:.1f}"
    if abs(value) >= 0.1:
        return f"{value:.2f}"
    return f"{value:.2g}"


def percent(value, digits=1):
    return f"{value * 100:.{digits}f} %"


def size(value):
    """Writes a number of bytes."""
    for unit, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
        if abs(value) >= unit:
            return f"{number(value / unit)} {name}"
    return f"{number(value)} B"


def seconds(value):
    if value is None:
        return "never"
    for unit, name in ((1.0, "s"), (1e-3, "ms"), (1e-6, "us")):
        if value >= unit:
            return f"{number(value / unit)} {name}"
    return f"{number(value / 1e-9)} ns"


def table(heads, rows):
    """Returns a table in Markdown."""
    lines = ["| " + " | ".join(heads) + " |", "|" + "---|" * len(heads)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)
