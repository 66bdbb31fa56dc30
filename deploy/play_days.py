#!/usr/bin/python3
"""Plays days of our own with the users' bench: every kind of trouble alone and twice, at the start,
under load and near the end, pairs that share a mechanism, and deployments that differ from the given
ones. Prints a table and ends with 1 when a rule was broken or a day failed.

Random days gather several troubles within a second or two around a few moments; their seed is printed.

Usage: deploy/play_days.py BENCH SITE [--set kinds|grown|pairs|random|sites|all] [--days N] [--seed N]
                           [--jobs N] [--why TEXT]
"""

import argparse
import concurrent.futures
import pathlib
import random
import re
import secrets
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Each trouble with its variants; `plan` where it is planned work.
KINDS = [
    ("faults", 'kind = "srv_slow", share = 0.2, x = 5.0, for_s = 6.0'),
    ("faults", 'kind = "srv_slow", share = 0.3, x = 5.0, for_s = 6.0, how = "across"'),
    ("plan", 'kind = "release", share = 0.5, x = 1.0, gap_s = 1.0'),
    ("plan", 'kind = "release", share = 0.7, x = 2.0, gap_s = 0.7'),
    ("plan", 'kind = "scale_in", share = 0.15'),
    ("faults", 'kind = "scale_in", share = 0.15, how = "spot", x = 2.0'),
    ("plan", 'kind = "scale_out", share = 0.3, gap_s = 2.0'),
    ("faults", 'kind = "node_kill", share = 0.2, for_s = 3.0, how = "power"'),
    ("faults", 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader"'),
    ("faults", 'kind = "node_kill", on = "side", share = 0.3'),
    ("faults", 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "meet drain"'),
    ("plan", 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.2'),
    ("plan", 'kind = "roll_term", share = 0.6, x = 1.0, gap_s = 1.2, how = "busy"'),
    ("plan", 'kind = "roll_term", on = "side", share = 0.6, x = 2.0, gap_s = 1.0'),
    ("faults", 'kind = "herd_kill", share = 0.6, for_s = 2.0'),
    ("faults", 'kind = "herd_kill", share = 0.6, for_s = 2.0, how = "power"'),
    ("faults", 'kind = "herd_kill", share = 1.0, for_s = 1.2, how = "power"'),  # one role lost whole
    ("faults", 'kind = "herd_kill", on = "side", share = 1.0, for_s = 1.0'),
    ("faults", 'kind = "herd_kill", on = "core", for_s = 1.5, how = "off"'),
    ("plan", 'kind = "add_nodes", share = 1.0'),
    ("faults", 'kind = "after_ack_kill", for_s = 3.0, how = "timed"'),
    ("faults", 'kind = "after_ack_kill", for_s = 3.0'),
    ("faults", 'kind = "clock_step", share = 0.4, x = 2500.0, for_s = 6.0, how = "back"'),
    ("faults", 'kind = "clock_step", share = 0.4, x = 2500.0, for_s = 6.0, how = "ahead"'),
    ("faults", 'kind = "core_cut", count = 2, for_s = 5.0, how = "leader"'),
    ("faults", 'kind = "core_cut", count = 1, for_s = 5.0, how = "one_way"'),
    ("faults", 'kind = "core_cut", count = 1, for_s = 5.0, how = "seeds"'),
    ("faults", 'kind = "core_cut", count = 1, for_s = 5.0, how = "reset race"'),
    ("faults", 'kind = "node_cut", share = 0.2, for_s = 5.0'),
    ("faults", 'kind = "node_cut", share = 0.2, for_s = 5.0, how = "all"'),
    ("faults", 'kind = "node_cut", share = 0.2, for_s = 4.0, how = "servers"'),
    ("faults", 'kind = "platform_down", for_s = 4.5, how = "silent lapse"'),
    ("faults", 'kind = "platform_down", for_s = 4.5, how = "busy"'),
    ("faults", 'kind = "platform_down", for_s = 4.5, how = "reset"'),
    ("faults", 'kind = "platform_down", for_s = 5.0, how = "nodes busy", share = 0.4'),
    ("faults", 'kind = "platform_down", for_s = 5.0, how = "nodes leader", share = 0.4'),
    ("faults", 'kind = "platform_slow", x = 60.0, for_s = 5.0'),
    ("faults", 'kind = "platform_lost", x = 0.4, for_s = 5.0, how = "late"'),
    ("faults", 'kind = "platform_compact", x = 5.0, for_s = 8.0'),
    ("faults", 'kind = "platform_compact", x = 5.0, for_s = 8.0, how = "drain"'),
    ("plan", 'kind = "config_change", how = "route"'),
    ("plan", 'kind = "config_change", how = "weights"'),
    ("plan", 'kind = "config_change", how = "idle"'),
    ("plan", 'kind = "config_storm", for_s = 3.0, gap_s = 0.1'),
    ("plan", 'kind = "big_config", count = 350'),
    ("faults", 'kind = "burst", x = 1.7, for_s = 3.0'),
    ("faults", 'kind = "shift", share = 0.5, for_s = 6.0'),
    ("faults", 'kind = "lossy", x = 0.03, for_s = 5.0'),
    ("faults", 'kind = "node_freeze", share = 0.2, for_s = 2.5'),
    ("faults", 'kind = "node_freeze", on = "side", share = 0.3, for_s = 2.0'),
    ("faults", 'kind = "node_slow", share = 0.2, x = 5.0, for_s = 5.0'),
    ("plan", 'kind = "hup", share = 0.5, gap_s = 1.0'),
    ("faults", 'kind = "reset_conns", share = 0.3, x = 0.5'),
]

# Kinds that only the grown deployments list, and rarer variants of the others.
GROWN_KINDS = [
    ("faults", 'kind = "srv_crash", share = 0.2, for_s = 3.0'),
    ("faults", 'kind = "srv_crash", share = 0.2, for_s = 3.0, how = "dark"'),
    ("faults", 'kind = "srv_crash", share = 0.2, how = "gone"'),
    ("faults", 'kind = "srv_grey", share = 0.2, for_s = 5.0, how = "mute", x = 0.5'),
    ("faults", 'kind = "srv_grey", share = 0.2, for_s = 5.0, how = "hang", x = 0.5'),
    ("faults", 'kind = "srv_grey", share = 0.2, for_s = 5.0, how = "reset", x = 0.5'),
    ("faults", 'kind = "srv_grey", share = 0.2, for_s = 5.0, how = "slow", x = 8.0'),
    ("faults", 'kind = "srv_lying_health", share = 0.2, for_s = 5.0, how = "errors"'),
    ("faults", 'kind = "srv_lying_health", share = 0.2, for_s = 5.0, how = "bad"'),
    ("faults", 'kind = "srv_flap", share = 0.2, for_s = 6.0, gap_s = 1.2'),
    ("faults", 'kind = "srv_cut", share = 0.2, for_s = 4.0'),
    ("faults", 'kind = "srv_cut", share = 0.2, for_s = 4.0, how = "some lossy"'),
    ("faults", 'kind = "srv_cut", share = 0.2, for_s = 4.0, how = "one_way"'),
    ("faults", 'kind = "core_cut", count = 2, for_s = 5.0, how = "both"'),
    ("faults", 'kind = "core_cut", count = 2, for_s = 5.0, how = "lure"'),
    ("faults", 'kind = "core_cut", count = 2, for_s = 5.0, how = "relieve"'),
    ("faults", 'kind = "core_cut", count = 2, for_s = 5.0, how = "split"'),
    ("faults", 'kind = "core_cut", count = 2, for_s = 5.0, how = "all refuse"'),
    ("faults", 'kind = "core_cut", count = 1, for_s = 5.0, how = "near hard drain"'),
    ("faults", 'kind = "scale_in", share = 0.4, how = "reclaim", x = 2.5, for_s = 5.0'),
    ("faults", 'kind = "herd_kill", on = "core", how = "taken", for_s = 1.0'),
    ("faults", 'kind = "after_ack_kill", for_s = 3.0, how = "kill"'),
    ("plan", 'kind = "config_change", how = "timeout"'),
    ("plan", 'kind = "roll_term", share = 0.3, how = "remove"'),
    ("faults", 'kind = "node_freeze", share = 0.5, for_s = 4.5'),
]
CLOSINGS = ['kind = "power_off_all", down_s = 1.0', 'kind = "kill_all", down_s = 1.0',
            'kind = "wipe_after_ack", down_s = 1.0', 'kind = "power_off_all", down_s = 0.8, how = "timed"']
LATEST_TROUBLE_S = 30.0  # days end at 34 s

# Troubles that share a mechanism, as (section, text, seconds after the first).
PAIRS = [
    [("faults", 'kind = "herd_kill", share = 1.0, for_s = 1.0, how = "power"', 0),
     ("faults", 'kind = "platform_down", for_s = 4.5, how = "silent"', 0)],
    [("faults", 'kind = "herd_kill", share = 1.0, for_s = 0.8, how = "power"', 0),
     ("faults", 'kind = "herd_kill", share = 0.95, for_s = 2.5, how = "power"', 10),
     ("faults", 'kind = "herd_kill", share = 1.0, for_s = 1.5, how = "power"', 18)],
    [("faults", 'kind = "platform_down", for_s = 9.0, how = "nodes silent", share = 0.35', 0),
     ("plan", 'kind = "config_change", how = "route"', 1.0),
     ("plan", 'kind = "config_change", how = "timeout"', 4.0)],
    [("faults", 'kind = "platform_down", for_s = 4.5, how = "silent"', 0),
     ("plan", 'kind = "release", share = 0.5, x = 1.0, gap_s = 0.8', 0.5)],
    [("faults", 'kind = "core_cut", count = 1, for_s = 5.0, how = "leader"', 0),
     ("plan", 'kind = "config_change", how = "route"', 0.6)],
    [("plan", 'kind = "release", share = 0.5, x = 1.0, gap_s = 0.7', 0),
     ("faults", 'kind = "herd_kill", share = 1.0, for_s = 1.0', 1.6)],
    [("plan", 'kind = "scale_in", share = 0.3', 0),
     ("faults", 'kind = "node_kill", on = "side", share = 0.6', 0.8)],
    [("faults", 'kind = "clock_step", share = 0.6, x = 2500.0, for_s = 4.0, how = "back"', 0),
     ("faults", 'kind = "herd_kill", share = 0.6, for_s = 1.0', 1.0)],
    [("faults", 'kind = "platform_lost", x = 0.5, for_s = 5.0, how = "late"', 0),
     ("faults", 'kind = "herd_kill", on = "core", for_s = 1.0, how = "off"', 1.0)],
    [("plan", 'kind = "add_nodes", share = 1.0', 0.3),
     ("faults", 'kind = "core_cut", count = 1, for_s = 5.0, how = "seeds"', 0)],
    [("plan", 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0', 0),
     ("plan", 'kind = "roll_term", on = "side", share = 1.0, x = 2.0, gap_s = 1.0', 0)],
    [("faults", 'kind = "node_freeze", on = "side", share = 0.5, for_s = 2.5', 0.7),
     ("plan", 'kind = "release", share = 0.7, x = 2.0, gap_s = 0.7', 0)],
    [("faults", 'kind = "lossy", x = 0.05, for_s = 6.0', 0),
     ("faults", 'kind = "herd_kill", share = 0.6, for_s = 1.0', 1.0)],
]

# Changes of a site file: name -> (pattern, replacement), each applied everywhere.
SITES = {
    "mod": [(r'hash = "steady"', 'hash = "mod"')],
    "tenth of the processor": [(r"cpu_share = 0\.(25|18|15)", "cpu_share = 0.03")],
    "ten times the processor": [(r"cpu_share = 0\.(25|18|15)", "cpu_share = 1.0")],
    "little memory": [(r"memory_mb = \d+", "memory_mb = 24")],
    "slow links": [(r"link_mbps = 1000\.0", "link_mbps = 60.0")],
    "quick heartbeats": [(r"beat_ms = \d+", "beat_ms = 400")],
    "slow heartbeats": [(r"beat_ms = \d+", "beat_ms = 2500")],
    "tight bounds": [(r"drain_ms = 3000", "drain_ms = 1500"), (r"config_ms = 3000", "config_ms = 1500")],
    "small store budget": [(r"writes_per_s = 400.0", "writes_per_s = 20.0"),
                           (r"reads_per_s = 2000.0", "reads_per_s = 60.0")],
    "far zones": [(r"cross_zone_ms = [\d.]+", "cross_zone_ms = 8.0")],
}


def write_day(path: pathlib.Path, name: str, entries: list[tuple[str, str, float]], closing: str) -> None:
    """Writes a day with these entries (section, text, second) and this final fault, if any."""
    lines = [f'name = "{name}"', 'slot = "trouble"', "seed = 20261202", "one = 1.0", "zero = 0.5",
             "goal = { floor = 0.4 }", "labels = []"]
    lines += [f"closing = {{ {closing} }}"] if closing else []
    for section in ("plan", "faults"):
        rows = [f"  {{ at = {at:.2f}, {text} }}," for kind, text, at in entries if kind == section]
        lines += [f"{section} = [", *rows, "]"]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def keep_listed(bench: str, site: str) -> None:
    """Drops the kinds that the bench doesn't list for this site from KINDS, GROWN_KINDS and PAIRS."""
    listing = subprocess.run([bench, "kinds", site], text=True, capture_output=True, check=True).stdout
    listed = set(re.findall(r"^(\w+):", listing, re.MULTILINE))

    def is_listed(entry: tuple) -> bool:
        return re.match(r'kind = "(\w+)"', entry[1]).group(1) in listed

    KINDS[:] = filter(is_listed, KINDS)
    GROWN_KINDS[:] = filter(is_listed, GROWN_KINDS)
    PAIRS[:] = [pair for pair in PAIRS if all(map(is_listed, pair))]


def random_day(dice: random.Random) -> list[tuple[str, str, float]]:
    """Returns entries for three to nine troubles around one to three moments."""
    moments = [dice.uniform(0.2, LATEST_TROUBLE_S - 2) for _ in range(dice.randint(1, 3))]
    entries = []
    for _ in range(dice.randint(3, 9)):
        section, text = dice.choice(KINDS + GROWN_KINDS)
        at = dice.choice(moments) + dice.choice([0, dice.uniform(0, 0.6), dice.uniform(0, 2.5)])
        entries.append((section, text, min(at, LATEST_TROUBLE_S)))
    return entries


def days_of(chosen: str, folder: pathlib.Path, count: int, seed: int) -> list[tuple[str, pathlib.Path]]:
    """Writes the days of the set into the folder and returns their names and files."""
    days = []
    kinds = (KINDS if chosen in ("kinds", "all") else []) + (GROWN_KINDS if chosen in ("grown", "all") else [])
    if kinds:
        for index, (section, text) in enumerate(kinds):
            for label, times in (("once", [8.0]), ("start", [0.2]), ("twice", [5.0, 14.0]), ("end", [29.0])):
                days.append((f"{index:02d} {label}: {text}", [(section, text, at) for at in times]))
    if chosen in ("pairs", "all"):
        for index, pair in enumerate(PAIRS):
            for start in (0.5, 9.0):
                entries = [(section, text, start + late) for section, text, late in pair]
                days.append((f"pair {index} at {start}: " + " + ".join(e[1][8:24] for e in entries), entries))
    closings = [""] * len(days)
    if chosen in ("random", "all"):
        for index in range(count):
            dice = random.Random(f"{seed}/{index}")
            entries = random_day(dice)
            days.append((f"random {seed}/{index}: " + " + ".join(
                f"{re.sub('[^a-z_0-9. ]', '', text)[6:44]} @{at:.1f}" for _, text, at in entries), entries))
            closings.append(dice.choice(["", *CLOSINGS]))
    files = []
    for index, (name, entries) in enumerate(days):
        path = folder / f"day-{index:03d}.toml"
        write_day(path, f"own-{index}", entries, closings[index])
        files.append((name, path))
    return files


def play(bench: str, site: str, name: str, day: str, why: str) -> tuple[str, bool, str]:
    """Plays one day; returns its name, whether it was kept, and the row or the faults."""
    done = subprocess.run([bench, "run", site, day, "--why", f"{why}: {name}"], cwd=ROOT, text=True,
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False)
    row = re.search(r"^\S+ +\d+/\d+ .*$", done.stdout, re.MULTILINE)
    broken = re.findall(r"^.*\b(?:MIXED|UNASKED|ROUTE|DRAIN|CONFIG|LOST|RECOVER|FLOW|fault)\b.*$", done.stdout, re.MULTILINE)
    kept = done.returncode == 0 and row is not None and not broken
    text = row.group(0)[20:100] if row else "no row"
    return name, kept, text if kept else text + " | " + "; ".join(broken)[:300] + (
        "" if row else done.stdout[-600:])


def without_endpoints(text: str, keep: int) -> str:
    """Returns the site with this many machines of each service and as much less traffic."""
    kept: dict[str, int] = {}
    total = 0
    lines = []
    for line in text.splitlines():
        found = re.search(r'class = "side".*?count = (\d+), app = "(\w+)"', line)
        if found:
            service, there = found.group(2), int(found.group(1))
            total += there
            stays = min(there, keep - kept.get(service, 0))
            kept[service] = kept.get(service, 0) + stays
            line = line.replace(f"count = {there}", f"count = {stays}") if stays else ""
        lines.append(line)
    share = sum(kept.values()) / total
    return re.sub(r"per_s = ([\d.]+), clients",
                  lambda rate: f"per_s = {float(rate.group(1)) * share * 0.8:.1f}, clients", "\n".join(lines))


def sites_of(site: pathlib.Path, folder: pathlib.Path) -> list[tuple[str, pathlib.Path]]:
    """Writes changed copies of the site file into the folder."""
    (folder / "wire.json").write_bytes((site.parent / "wire.json").read_bytes())
    sites = []
    for index, (name, changes) in enumerate(SITES.items()):
        text = site.read_text(encoding="utf-8")
        for pattern, replacement in changes:
            text, count = re.subn(pattern, replacement, text)
            if count == 0:
                sys.exit(f"{name}: nothing to change in {site.name}")
        path = folder / f"site-{index}.toml"
        path.write_text(text, encoding="utf-8")
        sites.append((name, path))
    for keep in (1, 2):
        path = folder / f"site-keep-{keep}.toml"
        path.write_text(without_endpoints(site.read_text(encoding="utf-8"), keep), encoding="utf-8")
        sites.append((f"{keep} endpoints a service", path))
    return sites


def main() -> int:
    """Plays the set and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("--set", choices=["kinds", "grown", "pairs", "random", "sites", "all"], default="kinds")
    parser.add_argument("--days", type=int, default=40, help="how many random days")
    parser.add_argument("--seed", type=int, default=secrets.randbelow(1_000_000), help="of the random days")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", default="own days")
    parser.add_argument("--only", default="", help="play only days whose name has this in it")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        site = str(arguments.site.resolve())
        bench = str(pathlib.Path(arguments.bench).resolve())
        keep_listed(bench, site)
        plays = [(day_name, site, str(path)) for day_name, path in days_of(arguments.set, folder, arguments.days, arguments.seed)]
        if arguments.set in ("sites", "all"):
            plays += [(f"{site_name}: {day}", str(path), day)
                      for site_name, path in sites_of(arguments.site.resolve(), folder)
                      for day in ("trouble-1", "scale-1", "scale-2")]
        plays = [entry for entry in plays if arguments.only in entry[0]]
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            jobs = [pool.submit(play, bench, where, day_name, day, arguments.why)
                    for day_name, where, day in plays]
            results = [job.result() for job in jobs]
    for day_name, kept, text in results:
        print("ok  " if kept else "FAIL", day_name, "|", text)
    failed = sum(not kept for _, kept, _ in results)
    print(f"{len(results)} days, {failed} not kept")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
