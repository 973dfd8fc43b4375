#!/usr/bin/env bash
# Builds what the cases of the third review start besides the deploy file's
# programs. Their stand-ins are review/common-3/harness.py and the case.py files,
# which need only python3 (scripts/install-packages has it), so this checks it.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 -m py_compile common-3/harness.py 1[1-5]/case.py 2>/dev/null
rm -rf common-3/__pycache__ 1[1-5]/__pycache__
