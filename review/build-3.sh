#!/bin/sh
# Builds the stand-ins of the third review into target/review-3. Needs target/ebonygw.jar,
# which the build line of deploy/system.toml makes, and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -cp target/ebonygw.jar -d target/review-3 review/standins-3/*.java
