#!/bin/sh
# Compiles the stand-ins and cases of the second review; needs the JDK only.
cd "$(dirname "$0")" || exit 2
rm -rf java-2/target
mkdir -p java-2/target
exec javac --release 17 -d java-2/target java-2/review2/*.java
