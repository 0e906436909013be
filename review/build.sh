#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in this folder, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/java-launch.sh
javac=$(dirname "$(find_java)")/javac
rm -rf target/review
mkdir -p target/review
"$javac" --release 25 -d target/review review/standins/*.java
