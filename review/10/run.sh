#!/bin/sh
# Runs the case of this folder; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
classes=$root/review/java-2/target
if [ ! -d "$classes/review2" ] || [ ! -f "$root/platform/target/sequoiareach-gateway.jar" ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec java -Droot="$root" -Drecord="$here/record.txt" -cp "$classes" review2.Main watch
