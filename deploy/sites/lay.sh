#!/bin/sh
# Lays the two helper files that the fleet bench wants beside a site file, from the kit beside the checkout. They are
# not kept here: git ignores them.
set -eu
cd "$(dirname "$0")"
from=${1:-../../../given/kit/sites}
cp "$from/wire.json" "$from/real.json" .
chmod u+w wire.json real.json
