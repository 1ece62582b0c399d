// Runs the compiled tests with tap and prints the closing line that CI reads.
// Tests named in KNOWN-RED.txt ("test: <file>#<test name>") are run and printed, but do not fail the run.
import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { globSync } from "./globSync.mjs";

const filters = process.argv.slice(2);
const files = globSync("build/tests", (path) => path.endsWith(".test.mjs")).filter(
  (path) => filters.length === 0 || filters.some((filter) => path.includes(filter)),
);
const knownRed = existsSync("KNOWN-RED.txt")
  ? [...readFileSync("KNOWN-RED.txt", "utf8").matchAll(/^test: (.+)$/gm)].map((match) => match[1].trim())
  : [];
const concurrentFiles = 4;
// A test file that hangs is ended and counted as a failure.
const fileTimeoutMs = 240_000;

// Files that bound the memory of processes under a crowd of clients or a flood from targets run after all others, one at a time.
const aloneFiles = /platform\/test\/(crowds|floods)[^/]*\.test\.mjs$/;

const totals = { passed: 0, failed: 0, red: 0 };
const queue = files.filter((file) => !aloneFiles.test(file));

/** Reads the top-level TAP lines of one file. */
function countResults(file, output, exitCode) {
  const source = file.replace("build/tests/", "").replace(/\.mjs$/, ".ts");
  let seenFailure = false;
  let printOutput = false;
  for (const line of output.split("\n")) {
    const match = /^(not ok|ok) \d+ - (.*?)(?: # time=.*)?(?: \{)?$/.exec(line);
    if (match === null) {
      continue;
    }
    const name = `${source}#${match[2].replace(/ # .*$/, "")}`;
    if (match[1] === "ok") {
      totals.passed += 1;
      continue;
    }
    seenFailure = true;
    if (knownRed.includes(name)) {
      totals.red += 1;
      console.log(`known red: ${name}`);
      continue;
    }
    totals.failed += 1;
    printOutput = true;
    console.log(`FAILED: ${name}`);
  }
  if (printOutput) {
    console.log(output);
  }
  if (exitCode !== 0 && !seenFailure) {
    totals.failed += 1;
    console.log(`FAILED: ${source} (exit ${exitCode})\n${output}`);
  }
}

async function runFile(file) {
  const startedMs = Date.now();
  const child = spawn(process.execPath, ["--enable-source-maps", file], {
    env: { ROARR_LOG: "false", ...process.env, TAP: "1" },
  });
  let output = "";
  child.stdout.on("data", (chunk) => (output += chunk));
  child.stderr.on("data", (chunk) => (output += chunk));
  const timer = setTimeout(() => child.kill("SIGKILL"), fileTimeoutMs);
  const exitCode = await new Promise((resolve) => child.on("close", (code) => resolve(code ?? 1)));
  clearTimeout(timer);
  countResults(file, output, exitCode);
  console.log(`${file}: exit ${exitCode}, ${((Date.now() - startedMs) / 1000).toFixed(1)} s`);
}

await Promise.all(
  Array.from({ length: concurrentFiles }, async () => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
      await runFile(file);
    }
  }),
);
for (const file of files.filter((each) => aloneFiles.test(each))) {
  await runFile(file);
}
if (totals.red > 0) {
  console.log(`${totals.red} known red, listed in KNOWN-RED.txt`);
}
console.log(`${totals.passed} passed, ${totals.failed} failed`);
process.exit(totals.failed === 0 && totals.passed > 0 ? 0 : 1);
