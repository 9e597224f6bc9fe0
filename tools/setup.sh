#!/usr/bin/env bash
# Installs what building and testing need, all from Debian's packages. Does nothing when it is there.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
    libcpp-httplib-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libboost-dev
    libtclap-dev liblog4cplus-dev nlohmann-json3-dev libsodium-dev libxxhash-dev libssl-dev zlib1g-dev
    libexpected-dev libhowardhinnant-date-dev
    libgtest-dev libgmock-dev libbenchmark-dev librapidcheck-dev
    python3 curl openssl gnuplot-nox
)

missing=()
for package in "${packages[@]}"; do
    state=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
    [[ $state == "install ok installed" ]] || missing+=("$package")
done
if ((${#missing[@]} == 0)); then
    exit 0
fi

run=()
((EUID == 0)) || run=(sudo)
"${run[@]}" apt-get update -q
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -q -y --no-install-recommends "${missing[@]}"
