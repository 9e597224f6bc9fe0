#!/usr/bin/env bash
# Plots the lines of tools/measure.sh: tools/measure_report.sh RESULTS DIR writes DIR/index.html and its pictures.
set -euo pipefail
results=$1
folder=$2
mkdir -p "$folder"

# mean DEPLOYMENT WAY FIELD: "load mean-over-seeds" lines.
mean() {
    awk -v deployment="$1" -v way="$2" -v field="$3" '
        { split("", value); for (i = 1; i <= NF; ++i) { split($i, pair, "="); value[pair[1]] = pair[2] } }
        value["deployment"] == deployment && value["way"] == way {
            sum[value["load"]] += value[field]; ++count[value["load"]]
        }
        END { for (load in sum) print load, sum[load] / count[load] }' "$results" | sort -n
}

{
    echo '<!doctype html><meta charset="utf-8"><title>Placement by way of routing</title>'
    echo '<h1>Placement by way of routing</h1><p>Simulated fleet, mean over the seeds; load in parts of capacity.</p>'
} >"$folder/index.html"
mapfile -t deployments < <(grep -o 'deployment=[a-z]*' "$results" | sort -u | cut -d= -f2)
mapfile -t ways < <(grep -o 'way=[a-z-]*' "$results" | sort -u | cut -d= -f2)
for deployment in "${deployments[@]}"; do
    echo "<h2>$deployment</h2>" >>"$folder/index.html"
    for field in hit_rate ttft_p99_ms recomputed_tokens goodput; do
        plots=()
        for way in "${ways[@]}"; do
            mean "$deployment" "$way" "$field" >"$folder/$deployment-$field-$way.dat"
            plots+=("'$folder/$deployment-$field-$way.dat' with linespoints title '$way'")
        done
        scale=""
        [[ $field == hit_rate || $field == goodput ]] || scale="set logscale y;"
        gnuplot -e "set terminal svg size 640,400; set output '$folder/$deployment-$field.svg'; $scale
            set xlabel 'load'; set ylabel '${field//_/ }'; set key outside; plot $(IFS=,; echo "${plots[*]}")"
        echo "<img src=\"$deployment-$field.svg\" alt=\"$field by load\">" >>"$folder/index.html"
    done
done
echo "measure: wrote $folder/index.html"
