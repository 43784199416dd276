#!/usr/bin/env bash
exec "$(dirname "$0")/../lab/run.sh" "$(dirname "$0")"
