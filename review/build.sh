#!/bin/sh
# The stand-ins of the cases are modules that Node.js runs as they are: checks that they can be parsed. The program itself
# is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
