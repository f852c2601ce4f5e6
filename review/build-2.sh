#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain modules for Node without dependencies
# and use nothing of this repository but target/guavayard, so they are only checked here.
cd "$(dirname "$0")/.." || exit 2
for file in review/support-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
  node --check "$file" || exit 1
done
