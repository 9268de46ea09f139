#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain Python of the standard library, so this only checks
# that they compile; nothing is written.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness.py [0-9]*/case.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
