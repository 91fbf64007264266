#!/bin/sh
# The stand-ins are Python programs that need only the standard library; this checks that they can run.
cd "$(dirname "$0")" || exit 1
python3 - <<'END'
import glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in glob.glob("common/*.py") + glob.glob("[0-9]*/*.py"):
    compile(open(path).read(), path, "exec")
END
