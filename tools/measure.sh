#!/usr/bin/env bash
# Compares ways of routing on a simulated fleet: tools/measure.sh [--seed N] [--deployment NAME] [--load F] [--way W]
# [--report DIR]. Without --seed, --deployment or --load it runs all that are compared.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
seeds=(1 2 3)
deployments=(shadeline ashline)
loads=(0.5 0.8 1.0 1.5)
report=
way=()
while (($# > 0)); do
    case $1 in
        --seed) seeds=("$2") ;;
        --deployment) deployments=("$2") ;;
        --load) loads=("$2") ;;
        --way) way=(--way "$2") ;;
        --report) report=$2 ;;
        *) echo "measure: unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done
results=$(mktemp)
trap 'rm -f "$results"' EXIT
for deployment in "${deployments[@]}"; do
    for load in "${loads[@]}"; do
        for seed in "${seeds[@]}"; do
            "$build/vanilladyke_measure" --deployment "$deployment" --load "$load" --seed "$seed" "${way[@]}" \
                2>/dev/null | tee -a "$results"
        done
    done
done
if [[ -n $report ]]; then
    tools/measure_report.sh "$results" "$report"
fi
