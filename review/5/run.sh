#!/bin/sh
exec sh "$(dirname "$0")/../play.sh" reload-in-shutdown "$(dirname "$0")"
