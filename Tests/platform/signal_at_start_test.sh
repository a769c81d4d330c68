#!/usr/bin/env bash
# Guards against a SIGHUP that arrives before its handler is installed: its
# default action would terminate the process. Sends SIGHUP while the process is
# reading its settings.
#   signal_at_start_test.sh PROGRAM
set -euo pipefail
Folder=$(mktemp -d)
trap 'rm -rf "$Folder"' EXIT
mkfifo "$Folder/node.yaml"
AZUREHAVEN_NODE_FILE="$Folder/node.yaml" "$1" platform-entry 2>"$Folder/errors" &
Process=$!
# Opening a FIFO blocks until the process has opened it for reading.
exec 3>"$Folder/node.yaml"
kill -HUP $Process
echo "no settings" >&3
exec 3>&-
Status=0
wait $Process || Status=$?
# Status 2: the settings were read and rejected; 129: terminated by SIGHUP.
if [ $Status -ne 2 ]; then
  echo "the process ended with status $Status" >&2
  exit 1
fi
grep -q "not a YAML mapping" "$Folder/errors"
