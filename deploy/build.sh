# Installs the dependencies below target/ and compiles every module, so that a
# start compiles nothing. Run from the root of the project.
set -eu
stamp=target/deps/.installed
if [ ! -e "$stamp" ] || [ pyproject.toml -nt "$stamp" ] ||
    [ constraints.txt -nt "$stamp" ]; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -c 'import tomllib
with open("pyproject.toml", "rb") as file:
    print("\n".join(tomllib.load(file)["project"]["dependencies"]))' \
        > target/requirements.txt
    python3 -m pip install --quiet --target target/deps \
        --constraint constraints.txt --requirement target/requirements.txt
    touch "$stamp"
fi
python3 -m compileall -q verbenanotch target/deps
