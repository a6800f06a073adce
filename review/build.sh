#!/bin/sh
# Builds the stand-ins and the cases, after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review
mkdir -p target/review || exit 2
javac -d target/review -cp target/ebonygw.jar review/standins/*.java review/[1-5]/*.java
