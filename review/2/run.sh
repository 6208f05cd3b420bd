#!/usr/bin/env bash
# A case of the rule REFUSED. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and
# review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/kumquatcleat-gateway ] && [ -x review/bin/standin ] || { echo "build first" >&2; exit 2; }
exec review/bin/standin latecopy "$folder/record.txt"
