#!/usr/bin/env bash
# Runs the case CLASS of this folder and writes its record to FOLDER/record.txt: case.sh CLASS FOLDER
set -euo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
[ -d review/target/classes ] || { echo "review/build.sh has not run" >&2; exit 2; }
exec java -Xmx256m -Dfile.encoding=UTF-8 -cp 'review/target/classes:platform/target/lib/*' "review.$1" "$folder"
