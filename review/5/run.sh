#!/bin/sh
# TROUBLE=0 runs the case without its disruption.
TROUBLE="${TROUBLE:-1}" exec sh "$(dirname "$0")/../run-case.sh" 5 EndlessHead
