# make demo: sets up and runs the main job. make test: sets up and passes the tests.
BUILD  := build
MARK   := $(BUILD)/.packages

.PHONY: all demo test bench lint format packages clean

all: $(MARK)
	cmake -S . -B $(BUILD) -G Ninja > $(BUILD)/configure.log || { cat $(BUILD)/configure.log; exit 1; }
	cmake --build $(BUILD)

$(MARK): scripts/packages.txt scripts/install-packages
	mkdir -p $(BUILD)
	scripts/install-packages
	touch $@

packages: $(MARK)

demo: all
	$(BUILD)/demo examples/demo.toml
	$(BUILD)/demo --packets

test: all
	scripts/run-tests $(BUILD)

bench: all
	scripts/run-bench $(BUILD)

lint: all
	scripts/lint $(BUILD)

format:
	scripts/sources | xargs clang-format -i

clean:
	cmake --build $(BUILD) --target clean
