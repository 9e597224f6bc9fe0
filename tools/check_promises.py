#!/usr/bin/env python3
"""Fails if docs/PROMISES.md names a test that does not exist."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMED = re.compile(r"`(?:(\w+\.py) )?([\w.]+)`")


def known_tests():
    names = set()
    for source in ROOT.glob("src/**/*_test.cpp"):
        text = source.read_text(encoding="utf-8")
        for suite, test in re.findall(r"(?:TEST|TEST_F|TEST_P|RC_GTEST_PROP)\(\s*(\w+),\s*(\w+)", text):
            names.add(f"{suite}.{test}")
    for driver in (ROOT / "tests/integration").glob("*.py"):
        names.add(driver.name)
        names.update(re.findall(r"def (test_\w+)", driver.read_text(encoding="utf-8")))
    return names


def main():
    known = known_tests()
    missing = []
    for line in (ROOT / "docs/PROMISES.md").read_text(encoding="utf-8").splitlines():
        cells = line.split("|")
        if len(cells) < 5:
            continue
        for driver, test in NAMED.findall(cells[3]):
            missing += [name for name in (driver, test) if name and name not in known]
    for name in missing:
        print(f"docs/PROMISES.md: no test is named {name}")
    sys.exit(1 if missing else 0)


if __name__ == "__main__":
    main()
