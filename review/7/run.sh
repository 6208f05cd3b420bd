#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kumquatcleat-gateway ] && [ -x target/review-2/standin ] || exit 2
timeout -k 5 110 target/review-2/standin start review/7
code=$?
[ $code -le 1 ] || code=2
exit $code
