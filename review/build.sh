#!/usr/bin/env bash
# Compiles the stand-ins and the cases of this folder to target/review. The build of deploy/system.toml has to be done
# before: Jackson is taken from platform/target/lib.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -encoding UTF-8 -d target/review -cp 'platform/target/lib/*' review/*.java
