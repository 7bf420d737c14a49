#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
number=$(basename "$(dirname "$(readlink -f "$0")")")
[ -x target/lentiljunction ] && [ -x "build/review/case-$number" ] || exit 2
exec "build/review/case-$number" "review/$number/record.txt"
