"""Charts as SVG."""
import html
import math

WIDTH, HEIGHT = 860, 300
LEFT, RIGHT, TOP, BOTTOM = 70, 20, 46, 44
COLOURS = ["#1b6ca8", "#d1603d", "#4f8a4c", "#8d5fa8", "#b08a1e", "#555555"]


def label(value):
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"


def rounded_up(value):
    """Returns the next number above that divides well by four."""
    if value <= 0:
        return 1.0
    unit = 10 ** math.floor(math.log10(value))
    return next(unit * step for step in (1, 1.2, 1.6, 2, 2.4, 3.2, 4, 6, 8, 10, 12)
                if unit * step >= value)


class Frame:
    """A titled frame with a vertical scale from 0 to `top`."""

    def __init__(self, title, top):
        self.top = rounded_up(top)
        self.parts = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" '
                      'font-family="sans-serif" font-size="11">',
                      f'<text x="{LEFT}" y="16" font-size="14">{html.escape(title)}</text>']
        for step in range(5):
            value = self.top * step / 4
            y = self.y(value)
            self.parts.append(f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y}" y2="{y}" '
                              'stroke="#ddd"/>')
            self.text(LEFT - 6, y + 4, label(value), "end")

    def y(self, value):
        share = min(value / self.top, 1.0)
        return round(HEIGHT - BOTTOM - share * (HEIGHT - TOP - BOTTOM), 1)

    def text(self, x, y, text, anchor="middle"):
        self.parts.append(f'<text x="{round(x, 1)}" y="{y}" text-anchor="{anchor}">'
                          f'{html.escape(str(text))}</text>')

    def legend(self, names):
        x = LEFT
        for index, name in enumerate(names):
            colour = COLOURS[index % len(COLOURS)]
            self.parts.append(f'<rect x="{x}" y="24" width="10" height="10" fill="{colour}"/>')
            self.text(x + 14, 33, name, "start")
            x += 30 + 7 * len(name)

    def done(self):
        return "\n".join(self.parts + ["</svg>"])


def bars(title, groups, series):
    """Draws bars: `series` maps a name to one value for each of `groups`."""
    frame = Frame(title, max(max(values) for values in series.values()))
    frame.legend(series)
    span = (WIDTH - LEFT - RIGHT) / len(groups)
    width = span * 0.8 / len(series)
    for g, group in enumerate(groups):
        start = LEFT + g * span + span * 0.1
        frame.text(LEFT + (g + 0.5) * span, HEIGHT - BOTTOM + 18, group)
        for s, (name, values) in enumerate(series.items()):
            y = frame.y(values[g])
            tip = html.escape(f"{name}, {group}: {label(values[g])}")
            frame.parts.append(
                f'<rect x="{start + s * width:.1f}" y="{y}" width="{width * 0.92:.1f}" '
                f'height="{HEIGHT - BOTTOM - y:.1f}" fill="{COLOURS[s % len(COLOURS)]}">'
                f'<title>{tip}</title></rect>')
    return frame.done()


def lines(title, xs, series, x_title):
    """Draws lines through one value for each of `xs`."""
    frame = Frame(title, max(max(values) for values in series.values()))
    frame.legend(series)
    scale = (WIDTH - LEFT - RIGHT) / (max(xs) * 1.02)
    for x in xs:
        frame.text(LEFT + x * scale, HEIGHT - BOTTOM + 16, x)
    frame.text((LEFT + WIDTH - RIGHT) / 2, HEIGHT - 8, x_title)
    for s, values in enumerate(series.values()):
        colour = COLOURS[s % len(COLOURS)]
        points = [(round(LEFT + x * scale, 1), frame.y(value)) for x, value in zip(xs, values)]
        path = " ".join(f"{x},{y}" for x, y in points)
        frame.parts.append(f'<polyline points="{path}" fill="none" stroke="{colour}" '
                           'stroke-width="2"/>')
        frame.parts += [f'<circle cx="{x}" cy="{y}" r="3" fill="{colour}"/>' for x, y in points]
    return frame.done()
