#!/usr/bin/env bash
# Runs the case CLASS and writes its record to FOLDER/record.txt: case.sh CLASS FOLDER TROUBLE
# TROUBLE is 1, or 0 to do the same without the disruption.
set -euo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
[ -d target/review ] || { echo "review/build.sh has not run" >&2; exit 2; }
exec java -Xmx256m -Dfile.encoding=UTF-8 -cp 'target/review:platform/target/lib/*' "review.$1" "$folder" "$3"
