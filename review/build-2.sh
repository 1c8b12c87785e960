#!/bin/sh
# Builds the program that plays the store, the endpoints and the clients of the cases.
set -e
cd "$(dirname "$0")/.."
go build -o target/review2/ ./review/mesh2
