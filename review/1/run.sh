#!/usr/bin/env bash
exec "$(dirname "$0")/../case.sh" OtherSpec "$(dirname "$0")"
