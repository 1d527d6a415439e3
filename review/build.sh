#!/usr/bin/env bash
# Compiles the stand-ins, callers and cases of the review; they need the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target
javac --release 17 -d review/target review/java/*.java
