#!/usr/bin/env bash
# Exit code: 1: the rule was broken, 0: it held, 2: not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
[ -x target/bramleysail ] && [ -x target/review-bed ] || { echo "not built: deploy/system.toml, review/build-2.sh" >review/7/record.txt; exit 2; }
exec target/review-bed frozen review/7/record.txt
