#!/usr/bin/env python3
"""Prints the credit that a day of the bench earned and lost, from its report.

scripts/price_sheet.py REPORT.json [--windows N]

The report is what `fleetbench run ... --report REPORT.json` writes.
"""

import argparse
import json
import sys


def table(title, header, rows):
    """Prints a table with columns as wide as their widest cells."""
    print(f"\n{title}")
    cells = [header] + [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        print("  " + "  ".join(cell.rjust(width) for cell, width in zip(row, widths)))


def format_ratio(count, total):
    """Formats the ratio of `count` to `total` with three digits."""
    return f"{count / total:.3f}" if total else "-"


def outcome_rows(items):
    """Yields one row for each group of requests, with the ratio of each outcome."""
    for item in items:
        owed = item["n"] - item["not_owed"]
        lost = [format_ratio(item[key], owed) for key in ("late", "refused", "failed")]
        yield [item["name"], owed, format_ratio(item["in_aim"], owed), *lost, f"{item['worth']:.3f}"]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("report")
    parser.add_argument("--windows", type=int, default=6, help="worst seconds to show")
    arguments = parser.parse_args()
    try:
        with open(arguments.report, encoding="utf-8") as source:
            report = json.load(source)
    except (OSError, json.JSONDecodeError) as problem:
        sys.exit(f"price_sheet: {arguments.report}: {problem}")

    header = ["", "owed", "in time", "late", "refused", "failed", "credit"]
    table("by kind of request", header, outcome_rows([report["all"]] + report["classes"]))
    table("by data centre of the caller", header, outcome_rows(report["zones"]))
    worst = sorted(report["windows"], key=lambda item: item["worth"])[: arguments.windows]
    table("worst seconds", header, outcome_rows(worst))

    parts = [[name, weight, round(value, 3)] for name, weight, value in report["parts"]]
    table("parts of the credit", ["part", "weight", "value"], parts)
    prices = sorted(report["prices"], key=lambda item: -item[2])
    rows = [[name, amount, f"{taken:.4f}"] for name, amount, taken in prices if taken > 0]
    table("prices, in parts of the credit owed", ["price", "amount", "taken"], rows)
    last_answers = [[answer, count] for answer, count, _ in report["unserved_by"]]
    table("not served, by the last answer", ["answer", "requests"], last_answers)


if __name__ == "__main__":
    main()
