#!/usr/bin/env bash
# Compiles the stand-ins and the cases of this folder. The build of deploy/system.toml has to be done before: Jackson is
# taken from platform/target/lib.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac -nowarn -encoding UTF-8 -d review/target/classes -cp 'platform/target/lib/*' review/src/review/*.java
