"""Burn report as text and as an HTML page."""

from html import escape
from typing import Any

BAR_WIDTH_PX = 400
BURN_FULL_BAR = 4.0
ROW_HEIGHT_PX = 26
LABEL_WIDTH_PX = 330


def as_text(rows: list[dict[str, Any]]) -> str:
    """Return the rows as a text table."""
    header = (
        f"{'service':<12} {'data centre':<14} {'window':>7} {'requests':>9} "
        f"{'good':>8} {'not run':>8} {'unknown':>8} {'objective':>9} {'burn':>6}"
    )
    lines = [header]
    for row in rows:
        good = row["good"] / row["total"] if row["total"] else 1.0
        lines.append(
            f"{row['service']:<12} {row['data_centre']:<14} {row['window_s']:>6}s "
            f"{row['total']:>9} {good:>8.2%} {row['not_run']:>8} "
            f"{row['unknown']:>8} {row['objective']:>9.2%} {row['burn']:>6.2f}"
        )
    return "\n".join(lines)


def as_html(rows: list[dict[str, Any]], generated_at: str) -> str:
    """Return a self-contained HTML page with a bar for each row."""
    height = ROW_HEIGHT_PX * (len(rows) + 1)
    width = LABEL_WIDTH_PX + BAR_WIDTH_PX + 160
    bars = "\n".join(_bar(index, row) for index, row in enumerate(rows))
    limit_x = LABEL_WIDTH_PX + BAR_WIDTH_PX / BURN_FULL_BAR
    return f"""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{{font-family:sans-serif;margin:2em}}text{{font-size:13px}}</style>
</head><body>
<h1>Service-level burn</h1>
<p>Generated {escape(generated_at)}. A burn of 1 spends the error budget exactly
as fast as the objective allows; the line marks it.</p>
<svg width="{width}" height="{height}" role="img" aria-label="burn by service">
{bars}
<line x1="{limit_x}" y1="0" x2="{limit_x}" y2="{height}" stroke="#444"
 stroke-dasharray="4"/>
</svg>
<pre>{escape(as_text(rows))}</pre>
</body></html>
"""


def _bar(index: int, row: dict[str, Any]) -> str:
    top = index * ROW_HEIGHT_PX
    width = min(row["burn"], BURN_FULL_BAR) / BURN_FULL_BAR * BAR_WIDTH_PX
    colour = "#c0392b" if row["burn"] > 1 else "#2e8b57"
    label = f"{row['service']} in {row['data_centre']}, {row['window_s'] // 60} min"
    return (
        f'<text x="0" y="{top + 17}">{escape(label)}</text>'
        f'<rect x="{LABEL_WIDTH_PX}" y="{top + 4}" width="{width:.1f}" height="18" '
        f'fill="{colour}"/>'
        f'<text x="{LABEL_WIDTH_PX + BAR_WIDTH_PX + 10}" y="{top + 17}">'
        f"{row['burn']:.2f} ({row['total']} requests)</text>"
    )
