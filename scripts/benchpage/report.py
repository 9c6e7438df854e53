"""Reads what the benches wrote and joins it into one report."""
import json
import os
import pathlib


def machine():
    """Says on what kind of machine the bench ran, without naming it."""
    model = "unknown"
    for line in pathlib.Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.split(":", 1)[1].strip()
            break
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return {"cores": os.cpu_count(), "model": model, "memory_gb": round(pages / 2**30),
            "load_average_at_end": os.getloadavg()[0]}


def join(build):
    """Joins the reports of both programs in the folder `build`."""
    core = json.loads((build / "bench-core.json").read_text())
    fleet = json.loads((build / "bench-fleet.json").read_text())
    return {"date": core["context"]["date"], "machine": machine(),
            "core": core["benchmarks"], "fleet": fleet}


class Core:
    """The benchmarks of the library by name."""

    UNITS = {"ns": 1e-9, "us": 1e-6, "ms": 1e-3, "s": 1.0}

    def __init__(self, report):
        self.list = report["core"]

    def find(self, name):
        """Returns the benchmark `name`, whatever options its name ends with."""
        for entry in self.list:
            if entry["name"] == name or entry["name"].startswith((name + "/iterations:",
                                                                  name + "/manual_time")):
                return entry
        raise KeyError(name)

    def seconds(self, name):
        """Returns the processor time of one run; that of the timed part where only it counts."""
        entry = self.find(name)
        timed = "real_time" if "manual_time" in entry["name"] else "cpu_time"
        return entry[timed] * self.UNITS[entry["time_unit"]]

    def counter(self, name, counter):
        return self.find(name)[counter]
