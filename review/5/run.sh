#!/bin/sh
exec sh "$(dirname "$0")/../run-case.sh" 5 StopCutsAnswer
