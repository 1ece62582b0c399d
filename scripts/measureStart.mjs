// Prints the processor time that each program of deploy/system.toml uses from its start until it serves: the median of
// a number of starts, with the flags that the deploy file names, on 127.0.0.1. Reads Linux's /proc.
// Usage: node scripts/measureStart.mjs [STARTS] [ROLE...]
import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { readRoles } from "./readRoles.mjs";

const [startsText = "20", ...chosen] = process.argv.slice(2);
const starts = Number(startsText);
const folder = mkdtempSync(join(tmpdir(), "clementinemux-start-"));
// Below the ports that Linux gives to outgoing connections.
const firstPort = 20_000 + (process.pid % 700) * 16;
const startedLine = "started";

/** Writes the settings of a program; returns the path of the file. */
function writeSettings(role) {
  const address = (offset) => `127.0.0.1:${firstPort + offset}`;
  const dataFolder = join(folder, `data-${role}`);
  // Kept from start to start, as after a kill.
  mkdirSync(dataFolder, { recursive: true });
  const isCoordinator = role === "coordinator";
  const file = join(folder, `${role}.jsonc`);
  const settings = {
    name: role,
    host: "127.0.0.1",
    failureDomain: "a",
    framePort: firstPort,
    seedAddresses: [address(1)],
    isBootstrap: isCoordinator,
    dataFolder: isCoordinator ? dataFolder : null,
    callerAddress: address(2),
    readyAddress: address(3),
    operatorAddress: address(1),
    directoryAddress: address(4),
    rankAddress: address(5),
    metricsPorts: { [role]: firstPort + 6 },
  };
  writeFileSync(file, JSON.stringify(settings));
  return file;
}

/** Processor time of all threads of a process, in ms. */
function readProcessorMs(pid) {
  const nanoseconds = readdirSync(`/proc/${pid}/task`).map((thread) =>
    Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, "utf8").split(" ")[0]),
  );
  return nanoseconds.reduce((sum, value) => sum + value, 0) / 1e6;
}

/** Runs a command until it prints that it has started, or to its end, and returns its processor time and its duration. */
async function measure(args) {
  const startedAtMs = performance.now();
  const child = spawn(process.execPath, args, { env, stdio: ["ignore", "pipe", "inherit"] });
  const result = await new Promise((resolve, reject) => {
    child.stdout.on("data", (chunk) => {
      if (chunk.includes(startedLine)) {
        resolve({ processorMs: readProcessorMs(child.pid), durationMs: performance.now() - startedAtMs });
      }
    });
    child.once("exit", (code) => reject(new Error(`${args.join(" ")} ended with ${code} before it served`)));
  });
  const ended = new Promise((resolve) => child.once("close", resolve));
  child.kill("SIGKILL");
  await ended;
  return result;
}

function getMedian(values) {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)];
}

const env = { PATH: process.env.PATH, HOME: process.env.HOME };
const emptyProgram = join(folder, "empty.cjs");
writeFileSync(emptyProgram, `process.stdout.write("${startedLine}\\n"); setInterval(() => {}, 1000);`);
try {
  for (const { role, flags, program } of readRoles().filter(
    ({ role }) => chosen.length === 0 || chosen.includes(role),
  )) {
    const commands = {
      "node alone": () => [...flags, emptyProgram],
      [program]: () => [...flags, program, "--settings", writeSettings(role)],
    };
    for (const [name, createArgs] of Object.entries(commands)) {
      const runs = [];
      for (let index = 0; index < starts; index += 1) {
        runs.push(await measure(createArgs()));
      }
      const processorMs = getMedian(runs.map((run) => run.processorMs));
      const durationMs = getMedian(runs.map((run) => run.durationMs));
      console.log(
        `${role}: ${name}: ${processorMs.toFixed(1)} ms of processor time, ${durationMs.toFixed(1)} ms (median of ${starts})`,
      );
    }
  }
} finally {
  rmSync(folder, { recursive: true, force: true });
}
