#!/usr/bin/env bash
# Installs every package that the build, the tests and the models need.
set -euo pipefail
packages=(
  g++ cmake ninja-build pkg-config make gcc
  clang-format clang-tidy clang libclang-rt-14-dev
  libboost-dev libboost-log-dev libboost-thread-dev libboost-system-dev
  libnghttp2-dev libtclap-dev libcpputest-dev libsodium-dev
  nlohmann-json3-dev libinih-dev
  spin python3 python3-matplotlib ccache
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -q
$sudo apt-get install -y -q "${missing[@]}"
