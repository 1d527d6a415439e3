#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# neither the gateway nor an engine is stopped.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp review/target MoveOnClosedConnection review/2
