#!/usr/bin/env bash
# Checks that the stand-ins of the third review can be imported; they need no build.
cd "$(dirname "$0")/.." && PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review python3 -c "import lab_3"
