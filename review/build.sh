#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node 20 and need no build; this checks them. The
# cases start target/guavayard, which the build of the deploy file writes.
set -euo pipefail
cd "$(dirname "$0")"
for module in support/*.mjs [1-5]/case.mjs; do
  node --check "$module"
done
