#!/bin/sh
# Runs a case: run-case.sh NUMBER CLASS. Exits with 2 if it isn't built.
cd "$(dirname "$0")/.." || exit 2
for file in target/ebonygw.jar target/ebonygw.jsa "target/review/$2.class"; do
    if [ ! -f "$file" ]; then
        echo "$file is missing: run the build line of deploy/system.toml, then review/build.sh"
        exit 2
    fi
done
exec java -Xmx512m -cp target/review:target/ebonygw.jar "$2" "review/$1"
