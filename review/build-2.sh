#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python programs, those of platform/soak too: this checks only that
# each can be read by the interpreter that runs the cases.
set -eu
cd "$(dirname "$0")/.."
exec /usr/bin/python3 - <<'PYTHON'
import ast
import pathlib

for pattern in ("platform/soak/*.py", "review/world2.py", "review/[4-8]/*.py"):
    for path in sorted(pathlib.Path(".").glob(pattern)):
        ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
