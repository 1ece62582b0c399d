import { measureRss } from "@clementinemux/bench/rss/measureRss";

const rows = await measureRss();
if (process.argv.includes("--json")) {
  process.stdout.write(`${JSON.stringify(rows)}\n`);
} else {
  for (const { daemon, flags, residentBytes } of rows) {
    process.stdout.write(`${daemon} ${flags.join(" ")}: ${(residentBytes / 1_048_576).toFixed(1)} MiB\n`);
  }
}
